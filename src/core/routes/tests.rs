//! Tests of route matching.

use super::{Route, RouteTable};

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        service: "s".to_owned(),
        timeout_ms: 1_500,
        max_attempts: 3,
        priority: 0,
        stretch: 1.6,
        target_ms: 60,
        needs_advice: false,
        competes: false,
    }
}

/// Routes of these queues, as service and priority; returns which of them compete.
fn competing(queues: &[(&str, u32)]) -> Vec<bool> {
    let routes = queues
        .iter()
        .enumerate()
        .map(|(number, (service, priority))| Route {
            service: (*service).to_owned(),
            priority: *priority,
            ..route("a.example", &format!("/{number}/"))
        });
    let table = RouteTable::new(routes);
    let find = |number| table.find("a.example", &format!("/{number}/"));
    let routes = (0..queues.len()).map(find);
    routes
        .map(|route| route.is_some_and(|route| route.competes))
        .collect()
}

macro_rules! competition_cases {
    ($($name:ident: $queues:expr => $competing:expr;)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(competing(&$queues), $competing);
            }
        )+
    };
}

competition_cases! {
    a_single_queue_does_not_compete: [("s", 1)] => [false];
    queues_with_one_priority_do_not_compete: [("s", 1), ("s", 1)] => [false, false];
    queues_with_different_priorities_compete: [("s", 1), ("s", 0), ("s", 1)] => [true; 3];
    queues_of_other_services_do_not_count: [("s", 0), ("t", 1), ("t", 2)] => [false, true, true];
}

macro_rules! route_cases {
    ($($name:ident: $host:literal $path:literal => $found:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let table = RouteTable::new([
                    route("a.example", "/one/"),
                    route("a.example", "/one/two/"),
                    route("b.example", "/"),
                ]);
                let found = table.find($host, $path).map(|route| route.name.as_str());
                assert_eq!(found, $found);
            }
        )+
    };
}

route_cases! {
    longest_prefix_wins: "a.example" "/one/two/3" => Some("a.example/one/two/");
    path_outside_longer_prefix_matches_shorter_one: "a.example" "/one/tw" => Some("a.example/one/");
    path_equal_to_prefix_matches: "a.example" "/one/" => Some("a.example/one/");
    routes_are_separate_per_host: "b.example" "/one/two/3" => Some("b.example/");
    unknown_host_does_not_match: "c.example" "/one/" => None;
    unknown_path_does_not_match: "a.example" "/two/" => None;
    multibyte_path_does_not_match_or_panic: "a.example" "/é" => None;
}

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
    }
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

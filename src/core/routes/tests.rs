//! Tests of which queue a request is for.

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
    the_longest_prefix_wins: "a.example" "/one/two/3" => Some("a.example/one/two/");
    a_shorter_prefix_takes_the_rest: "a.example" "/one/tw" => Some("a.example/one/");
    the_prefix_itself_is_a_match: "a.example" "/one/" => Some("a.example/one/");
    another_host_has_other_routes: "b.example" "/one/two/3" => Some("b.example/");
    an_unknown_host_has_none: "c.example" "/one/" => None;
    an_unknown_path_has_none: "a.example" "/two/" => None;
    a_path_that_is_cut_inside_a_character_has_none: "a.example" "/é" => None;
}

"""Routes are matched by host and longest path prefix; splits follow their weights."""

import collections

from ebonywheel.gateway import routes

LIMITS = routes.CallerLimits(16_384, 4_194_304, 3.0, 15.0)


def route(name, prefix, host="a.example", splits=(("s", 1),)):
    return routes.Route(name, host, prefix, routes.RouteKind.ONCE, splits, 2.0, 0.3)


def match(table, host, path):
    matched = table.match(host, path)
    return None if matched is None else matched.name


class TestMatch:
    table = routes.Table(
        1,
        [route("root", "/"), route("a", "/a/"), route("ab", "/a/b/"), route("o", "/", "b.example")],
        {},
        None,
        LIMITS,
    )

    def test_the_longest_prefix_wins(self):
        assert match(self.table, "a.example", "/a/b/c") == "ab"
        assert match(self.table, "a.example", "/a/x") == "a"
        assert match(self.table, "a.example", "/ab/x") == "root"

    def test_a_prefix_matches_only_up_to_a_slash(self):
        assert match(self.table, "a.example", "/a/b") == "a"
        assert match(self.table, "a.example", "/a") == "root"

    def test_the_host_is_matched_first_ignoring_case_and_port(self):
        assert match(self.table, "B.Example:8740", "/a/b/c") == "o"
        assert match(self.table, "c.example", "/") is None


def test_requests_are_split_by_weight():
    split = route("r", "/", splits=(("old", 90), ("new", 10)))
    counts = collections.Counter(split.service_for(n / 1000) for n in range(1000))
    assert counts == {"old": 900, "new": 100}

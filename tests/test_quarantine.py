"""What an entry host refuses, and which successes it reports."""

import pytest

from ebonywheel import messages
from ebonywheel.gateway import dialect, quarantine

NOW = 1000.0


def make_request(parts=(), body=b"", target="/plan/1"):
    prompt = dialect.Prompt(100, 10, 0, tuple(parts)) if parts else None
    return dialect.CallerRequest(
        "attempt", "POST", "a.example", target, target, "key", None, [], body, prompt
    )


def suspect(fingerprint, crashed_ms=1000, refused_ms=0):
    return messages.SuspectFingerprint(fingerprint, crashed_ms, refused_ms)


@pytest.fixture
def quarantined():
    """A quarantine with one refused fingerprint and one that is only suspected."""
    known = quarantine.Quarantine()
    assert known.update(3, [suspect(b"bad", refused_ms=60_000), suspect(b"maybe")], NOW)
    return known


class TestFingerprints:
    def test_parts_are_recognized_in_other_requests(self):
        one = quarantine.request_fingerprints("c", "s", make_request(["a", "b"], b"1"))
        other = quarantine.request_fingerprints("d", "s", make_request(["b"], b"2"))
        assert one[1] == other[0] and len(set(one) | set(other)) == 4

    def test_services_are_told_apart(self):
        one = quarantine.request_fingerprints("c", "s", make_request(["a"]))
        other = quarantine.request_fingerprints("c", "t", make_request(["a"]))
        assert not set(one) & set(other)

    @pytest.mark.parametrize(
        ("customer", "request_change"),
        [("d", {}), ("c", {"body": b"2"}), ("c", {"target": "/plan/2"})],
    )
    def test_a_whole_request_is_recognized_only_if_it_is_the_same(self, customer, request_change):
        one = quarantine.request_fingerprints("c", "s", make_request())
        assert one == quarantine.request_fingerprints("c", "s", make_request())
        assert one != quarantine.request_fingerprints(customer, "s", make_request(**request_change))


class TestQuarantine:
    def test_only_quarantined_requests_are_refused_and_not_for_longer(self, quarantined):
        assert quarantined.remaining_s((b"x", b"bad"), NOW + 1) == 59.0
        assert quarantined.remaining_s((b"x", b"bad"), NOW + 60) == 0.0
        assert quarantined.remaining_s((b"x", b"maybe"), NOW) == 0.0

    def test_an_outdated_list_changes_nothing(self, quarantined):
        assert not quarantined.update(3, [], NOW)
        assert not quarantined.update(0, [], NOW)
        assert quarantined.remaining_s((b"bad",), NOW) == 60.0
        assert quarantined.update(4, [], NOW)
        assert quarantined.remaining_s((b"bad",), NOW) == 0.0

    def test_a_success_after_the_crash_contradicts_once(self, quarantined):
        fingerprints = (b"x", b"maybe", b"bad")
        assert quarantined.take_contradicted(fingerprints, NOW - 1.0) == []
        assert quarantined.take_contradicted(fingerprints, NOW - 0.5) == [b"maybe", b"bad"]
        assert quarantined.take_contradicted(fingerprints, NOW) == []
        quarantined.update(4, [suspect(b"maybe")], NOW)
        assert quarantined.take_contradicted(fingerprints, NOW) == [b"maybe"]

"""Tests of the waiting queue: priorities, shares of customers, bounds and deadlines."""

import collections

import hypothesis
import pytest
from hypothesis import strategies

from ebonywheel import admission, exceptions, policies


def make_request(
    customer, cost=100.0, priority=10, service="plan", arrived_at=0.0, max_wait_s=30.0, **fields
):
    job = policies.Job(service, customer, 10, priority=priority)
    return admission.Request(job, cost, arrived_at, arrived_at + max_wait_s, **fields)


def take_in_order(queue, limit, now=0.0):
    """Take up to `limit` requests in the order of the queue; return their customers."""
    customers = []
    while queue.count and len(customers) < limit:
        first = queue.heads({})[0]
        queue.take(first, now)
        customers.append(first.job.customer)
    return customers


def push_requests(queue, customer, count, **fields):
    for _ in range(count):
        queue.push(make_request(customer, **fields), 0.0)


class TestOrder:
    def test_higher_priority_goes_first(self):
        queue = admission.WaitingQueue(100)
        push_requests(queue, "low", 3, priority=0)
        push_requests(queue, "high", 3, priority=20)
        assert take_in_order(queue, 6) == ["high"] * 3 + ["low"] * 3

    def test_burst_at_a_high_priority_does_not_starve_a_lower_one(self):
        queue = admission.WaitingQueue(1000)
        push_requests(queue, "high", 400, priority=20)
        push_requests(queue, "low", 100, priority=0)
        allowed = int(admission.PRIORITY_ALLOWANCE_TOKENS / 100)
        customers = take_in_order(queue, 100)
        assert customers[:allowed] == ["high"] * allowed
        assert 35 <= customers.count("low") <= 50

    def test_burst_of_a_large_customer_does_not_delay_a_small_one(self):
        queue = admission.WaitingQueue(1000)
        push_requests(queue, "large", 200)
        push_requests(queue, "small", 2)
        assert "small" in take_in_order(queue, 2)

    def test_customers_are_served_in_proportion_to_their_shares(self):
        queue = admission.WaitingQueue(1000)
        push_requests(queue, "four", 200, share=4.0)
        push_requests(queue, "one", 200, share=1.0)
        counts = collections.Counter(take_in_order(queue, 100))
        assert 78 <= counts["four"] <= 82

    def test_share_counts_tokens_and_not_requests(self):
        queue = admission.WaitingQueue(1000)
        push_requests(queue, "long", 100, cost=300.0)
        push_requests(queue, "short", 300, cost=100.0)
        counts = collections.Counter(take_in_order(queue, 80))
        assert 58 <= counts["short"] <= 62

    def test_answers_longer_than_expected_are_charged_to_the_customer(self):
        queue = admission.WaitingQueue(1000)
        push_requests(queue, "long", 50)
        push_requests(queue, "even", 50)
        first = queue.heads({})[0]
        queue.take(first, 0.0)
        queue.settle(first, 1000)
        push_requests(queue, first.job.customer, 1)
        assert queue.finish_tags[admission.flow_key(first)] > 900

    def test_short_request_does_not_wait_behind_long_ones_of_another_service(self):
        queue = admission.WaitingQueue(1000)
        push_requests(queue, "a", 100, cost=500.0)
        push_requests(queue, "a", 1, cost=8.0, service="label")
        services = []
        for _ in range(3):
            first = queue.heads({})[0]
            queue.take(first, 0.0)
            services.append(first.job.service)
        assert "label" in services

    def test_customer_at_its_limit_is_skipped(self):
        queue = admission.WaitingQueue(100)
        push_requests(queue, "a", 2, max_running=3)
        push_requests(queue, "b", 1)
        assert [head.job.customer for head in queue.heads({"a": 3})] == ["b"]

    def test_unfair_queue_is_first_come_first_served(self):
        queue = admission.WaitingQueue(100, fair=False)
        for index, (customer, priority) in enumerate([("a", 0), ("b", 20), ("a", 20), ("c", 0)]):
            queue.push(make_request(customer, priority=priority, arrived_at=float(index)), 0.0)
        assert take_in_order(queue, 4) == ["a", "b", "a", "c"]


class TestOvertaking:
    def test_another_service_may_overtake_a_request_that_finds_no_server(self):
        queue = admission.WaitingQueue(100)
        push_requests(queue, "a", 2)
        push_requests(queue, "b", 2)
        push_requests(queue, "b", 1, service="label")
        found = admission.eligible(queue, {}, 1.0)
        assert [request.job.service for request in found] == ["plan", "label"]

    def test_request_that_has_waited_long_is_not_overtaken(self):
        queue = admission.WaitingQueue(100)
        push_requests(queue, "a", 1)
        push_requests(queue, "b", 1, service="label", arrived_at=1.0)
        assert [request.job.service for request in admission.eligible(queue, {}, 20.0)] == ["plan"]


class TestBounds:
    def test_full_queue_evicts_from_the_customer_with_the_largest_backlog(self):
        queue = admission.WaitingQueue(10)
        push_requests(queue, "large", 10)
        evicted = queue.push(make_request("small"), 0.0)
        assert (evicted.job.customer, queue.count) == ("large", 10)
        with pytest.raises(exceptions.NotRunError):
            queue.push(make_request("large"), 0.0)

    def test_full_queue_compares_backlogs_by_share_whatever_the_priority(self):
        queue = admission.WaitingQueue(6)
        push_requests(queue, "low", 1, priority=0)
        push_requests(queue, "high", 5, priority=20, share=4.0)
        assert queue.push(make_request("new", priority=0, cost=50.0), 0.0).job.customer == "high"
        with pytest.raises(exceptions.NotRunError):
            queue.push(make_request("high", priority=20, share=4.0), 0.0)

    def test_requests_past_their_deadline_are_removed(self):
        queue = admission.WaitingQueue(10)
        push_requests(queue, "a", 2, max_wait_s=5.0)
        push_requests(queue, "b", 1, max_wait_s=50.0)
        assert [expired.job.customer for expired in queue.expire(6.0)] == ["a", "a"]
        assert queue.count == 1

    def test_finish_tags_of_customers_that_left_are_dropped(self):
        queue = admission.WaitingQueue(10_000)
        for number in range(1000):
            push_requests(queue, f"customer-{number}", 1, cost=1.0 + number)
        take_in_order(queue, 1000)
        push_requests(queue, "last", 2)
        take_in_order(queue, 2)
        assert len(queue.finish_tags) <= 1001

    def test_removed_requests_leave_nothing_in_the_queue(self):
        queue = admission.WaitingQueue(10)
        push_requests(queue, "a", 3)
        for expired in queue.expire(100.0):
            assert not expired.queued
        assert (queue.count, queue.flows) == (0, {})


class TestEarlyRefusal:
    def serve(self, queue, seconds, per_second=1):
        """Take requests at an even rate for some seconds; return the time at the end."""
        now = 0.0
        for _ in range(seconds * per_second):
            now += 1 / per_second
            queue.take(queue.heads({})[0], now)
        return now

    def test_request_that_cannot_be_served_in_time_is_refused_with_a_retry_time(self):
        queue = admission.WaitingQueue(1000)
        push_requests(queue, "a", 100, max_wait_s=1000.0)
        now = self.serve(queue, 20)
        with pytest.raises(exceptions.NotRunError) as caught:
            queue.push(make_request("a", arrived_at=now, max_wait_s=30.0), now)
        assert 30 <= caught.value.retry_after <= admission.MAX_RETRY_AFTER_S

    def test_small_customer_is_not_refused_for_a_large_ones_backlog(self):
        queue = admission.WaitingQueue(1000)
        push_requests(queue, "large", 100, max_wait_s=1000.0)
        now = self.serve(queue, 20)
        assert queue.push(make_request("small", arrived_at=now, max_wait_s=30.0), now) is None

    def test_without_an_observed_rate_nothing_is_refused_early(self):
        queue = admission.WaitingQueue(1000)
        push_requests(queue, "a", 900, max_wait_s=1.0)
        assert queue.count == 900


CUSTOMERS = strategies.sampled_from("abc")
PUSHES = strategies.tuples(
    strategies.just("push"), CUSTOMERS, strategies.sampled_from([0, 10]), strategies.integers(1, 50)
)
TAKES = strategies.tuples(strategies.sampled_from(["take", "remove"]))


def rank(queue, request):
    """Return a sort key: requests within their share first, then by priority, highest first."""
    return (
        request.start_tag > queue.virtual_time + admission.PRIORITY_ALLOWANCE_TOKENS,
        -request.job.priority,
    )


class TestAgainstOracle:
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(strategies.lists(PUSHES | TAKES, max_size=60))
    def test_holds_the_same_requests_as_a_list(self, actions):
        queue = admission.WaitingQueue(12)
        expected = []
        for action in actions:
            if action[0] == "push":
                self.push(queue, expected, make_request(action[1], action[3], action[2]))
            elif expected and action[0] == "take":
                first = queue.heads({})[0]
                assert first in expected
                assert rank(queue, first) == min(rank(queue, head) for head in queue.heads({}))
                queue.take(first, 0.0)
                expected.remove(first)
            elif expected:
                queue.remove(expected.pop(len(expected) // 2), 0.0)
            assert queue.count == len(expected) <= 12
            firsts = {request.job.customer: request for request in reversed(expected)}
            assert set(map(id, queue.heads({}))) == set(map(id, firsts.values()))

    def push(self, queue, expected, request):
        """Push a request to the queue and, unless it is refused, to the list."""
        try:
            evicted = queue.push(request, 0.0)
        except exceptions.NotRunError:
            assert len(expected) == 12
            return
        expected.append(request)
        if evicted is not None:
            assert evicted.job.customer != request.job.customer
            expected.remove(evicted)

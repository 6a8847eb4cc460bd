"""Tests of placement: requests wait in a queue for each kind of engine and get slots in order."""

import curio
import pytest

from ebonywheel import (
    clock,
    configuration,
    documents,
    exceptions,
    fleet,
    kernel,
    messages,
    placement,
    policies,
    registry,
    settings,
)

CUSTOMER = {"key_sha256": "0" * 64, "priority": "normal", "services": ["plan"]}


def make_document(**customers):
    customer_entries = {
        name: documents.Customer(**{**CUSTOMER, **fields}) for name, fields in customers.items()
    }
    return documents.Document(
        "production",
        {"puget": "north", "yakima": "south"},
        {"planner": documents.Engine(2, 4)},
        {"plan": documents.Service(documents.ServiceKind.STREAM, "planner")},
        {"normal": 10},
        customer_entries,
    )


class FeedStub:
    """A configuration feed that holds a lease while `leased` is true."""

    def __init__(self, document, policy="length_aware", max_waiting=10):
        self.current = configuration.Configuration()
        self.current.document = document
        self.settings = type("Settings", (), {"policy": policy, "max_waiting": max_waiting})
        self.incarnation = 1
        self.leased = True

    def holds_lease(self):
        return self.leased

    def require_lease(self):
        if not self.leased:
            raise exceptions.NotRunError("no lease", "lease")
        return self.current


class FleetStub:
    """A fleet of servers, each with the given number of free slots."""

    def __init__(self, core, **free_slots):
        self.free_slots = free_slots
        self.changed = curio.Condition()
        self.holdings = {}
        self.on_release = []
        self.borrow_requests = []
        self.release_outcomes = []
        self.borrow_delay_s = 0.0
        self.servers = {}
        for name in free_slots:
            state = messages.ServerState(name, 1, data_centre=name.split("_")[0], engine="planner")
            view = messages.ServerView(state, home="other", limit=4)
            self.servers[name] = fleet.KnownServer(view, 1, core.clock.monotonic())

    def ready_views(self, engine, current):
        return [known.view for known in self.servers.values()]

    async def borrow(self, request, home):
        self.borrow_requests.append((request.customer, request.server))
        await curio.sleep(self.borrow_delay_s)
        if self.free_slots[request.server] <= 0:
            raise exceptions.NotRunError("no slot free", "lend", request.server)
        self.free_slots[request.server] -= 1
        return messages.Loan(request.loan, request.server, 1, 1000)

    def add_holding(self, holding):
        self.holdings[holding.loan] = holding

    async def release(self, holding, outcome):
        self.release_outcomes.append(outcome)
        self.free_slots[holding.server] += 1
        self.holdings.pop(holding.loan)
        for hook in self.on_release:
            hook(holding, outcome)
        async with self.changed:
            await self.changed.notify_all()


class PlacerFixture:
    """A placer with a stub feed and a stub fleet."""

    def __init__(self, core, document=None, **options):
        free_slots = options.pop("free_slots", {"puget_1": 1})
        self.fleet = FleetStub(core, **free_slots)
        self.feed = FeedStub(document or make_document(a={}, b={}), **options)
        self.placer = placement.Placer(core, self.feed, self.fleet)

    async def place(self, customer="a", timeout_s=5.0, **fields):
        avoid = fields.pop("avoid", frozenset())
        job = policies.Job("plan", customer, 10, region="north", priority=10, **fields)
        return await self.placer.place(job, timeout_s, avoid)


def run(scenario, **options):
    """Run an asynchronous scenario with a placer fixture, for at most 20 seconds."""
    registry.load_plugins()

    async def main():
        host = settings.HostSettings("entry-1", "puget", "127.0.0.1:1", "127.0.0.1:2", "")
        async with kernel.Kernel("entry", host, b"", clock.SystemClock()) as core:
            await scenario(PlacerFixture(core, **options))

    async def bounded():
        async with curio.timeout_after(20):
            await main()

    curio.run(bounded)


class TestWaiting:
    def test_request_gets_a_slot_released_by_another(self):
        async def scenario(fixture):
            first = await fixture.place()
            second = await curio.spawn(fixture.place, "b")
            await curio.sleep(0.05)
            assert fixture.placer.waiting == 1
            await fixture.fleet.release(first.holding, "finished")
            assert (await second.join()).holding.customer == "b"
            assert fixture.placer.waiting == 0

        run(scenario)

    def test_server_that_refused_is_not_asked_again_before_a_change(self):
        async def scenario(fixture):
            with pytest.raises(exceptions.NotRunError):
                await fixture.place(timeout_s=0.5)
            assert len(fixture.fleet.borrow_requests) == 1

        run(scenario, free_slots={"puget_1": 0})

    def test_timeout_is_reported_as_not_run_with_retry_after(self):
        async def scenario(fixture):
            await fixture.place()
            with pytest.raises(exceptions.NotRunError) as caught:
                await fixture.place(timeout_s=0.05)
            assert caught.value.retry_after >= 1
            assert fixture.placer.waiting == 0

        run(scenario)

    def test_slot_borrowed_for_a_cancelled_request_is_released(self):
        async def scenario(fixture):
            fixture.fleet.borrow_delay_s = 0.1
            task = await curio.spawn(fixture.place)
            await curio.sleep(0.05)
            await task.cancel()
            await curio.sleep(0.2)
            assert fixture.fleet.release_outcomes == ["unused"]
            assert (fixture.placer.waiting, fixture.placer.requests_by_loan) == (0, {})

        run(scenario)

    def test_lost_lease_refuses_all_waiting_requests(self):
        async def scenario(fixture):
            held = await fixture.place()
            task = await curio.spawn(fixture.place, "b")
            await curio.sleep(0.05)
            fixture.feed.leased = False
            await fixture.fleet.release(held.holding, "finished")
            with pytest.raises(curio.TaskError) as caught:
                await task.join()
            assert isinstance(caught.value.__cause__, exceptions.NotRunError)

        run(scenario)


class TestFairness:
    def test_full_queue_evicts_from_the_customer_with_the_most_waiting(self):
        async def scenario(fixture):
            await fixture.place()
            heavy = [await curio.spawn(fixture.place, "a") for _ in range(3)]
            await curio.sleep(0.05)
            light = await curio.spawn(fixture.place, "b")
            await curio.sleep(0.05)
            assert [task.terminated for task in heavy] == [False, False, True]
            assert not light.terminated
            for task in (*heavy, light):
                await task.cancel()

        run(scenario, max_waiting=3)

    def test_customer_is_limited_to_max_running(self):
        async def scenario(fixture):
            fixture.fleet.borrow_delay_s = 0.02
            tasks = [await curio.spawn(fixture.place, "a") for _ in range(4)]
            await curio.sleep(0.3)
            assert len(fixture.fleet.holdings) == 2
            for task in tasks:
                await task.cancel()

        document = make_document(a={"max_running": 2})
        run(scenario, document=document, free_slots={"puget_1": 4})

    def test_request_without_a_usable_server_does_not_block_others(self):
        async def scenario(fixture):
            first = await curio.spawn(fixture.place, "a", 5.0)
            await first.join()
            avoiding = await curio.spawn(lambda: fixture.place("a", avoid=frozenset(["puget_1"])))
            await curio.sleep(0.02)
            assert (await fixture.place("b")).holding.server == "puget_1"
            await avoiding.cancel()

        run(scenario, free_slots={"puget_1": 2})


class TestServerChoice:
    def test_other_region_is_used_only_when_the_own_region_is_full(self):
        async def scenario(fixture):
            tasks = [await curio.spawn(fixture.place) for _ in range(8)]
            await curio.sleep(0.3)
            servers = [holding.server for holding in fixture.fleet.holdings.values()]
            assert servers.count("puget_1") == 2
            # Up to `cross_region_cost` requests wait instead of using another region.
            assert servers.count("yakima_1") == 2
            assert fixture.placer.waiting == 4
            for task in tasks:
                await task.cancel()

        run(scenario, free_slots={"puget_1": 2, "yakima_1": 4})

    def test_requests_between_server_updates_are_spread_over_servers(self):
        async def scenario(fixture):
            fixture.fleet.borrow_delay_s = 0.05
            tasks = [await curio.spawn(fixture.place) for _ in range(6)]
            await curio.sleep(0.3)
            servers = [holding.server for holding in fixture.fleet.holdings.values()]
            assert max(map(servers.count, set(servers))) == 2
            for task in tasks:
                await task.join()

        run(scenario, free_slots={"puget_1": 4, "puget_2": 4, "puget_3": 4})

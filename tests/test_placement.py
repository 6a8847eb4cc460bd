"""Placement: requests wait in the queue of their engine and get slots in its order."""

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
    made = {
        name: documents.Customer(**{**CUSTOMER, **fields}) for name, fields in customers.items()
    }
    return documents.Document(
        "production",
        {"puget": "north", "yakima": "south"},
        {"planner": documents.Engine(2, 4)},
        {"plan": documents.Service(documents.ServiceKind.STREAM, "planner")},
        {"normal": 10},
        made,
    )


class FeedStub:
    """A feed with a lease, until told otherwise."""

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
    """Servers with a number of slots each."""

    def __init__(self, core, **free):
        self.free = free
        self.changed = curio.Condition()
        self.holdings = {}
        self.on_release = []
        self.asked = []
        self.outcomes = []
        self.delay_s = 0.0
        self.servers = {}
        for name in free:
            state = messages.ServerState(name, 1, data_centre=name.split("_")[0], engine="planner")
            view = messages.ServerView(state, home="other", limit=4)
            self.servers[name] = fleet.KnownServer(view, 1, core.clock.monotonic())

    def candidates(self, engine, current):
        return [known.view for known in self.servers.values()]

    async def borrow(self, request, home):
        self.asked.append((request.customer, request.server))
        await curio.sleep(self.delay_s)
        if self.free[request.server] <= 0:
            raise exceptions.NotRunError("no slot free", "lend", request.server)
        self.free[request.server] -= 1
        return messages.Loan(request.loan, request.server, 1, 1000)

    def hold(self, holding):
        self.holdings[holding.loan] = holding

    async def release(self, holding, outcome):
        self.outcomes.append(outcome)
        self.free[holding.server] += 1
        self.holdings.pop(holding.loan)
        for hook in self.on_release:
            hook(holding, outcome)
        async with self.changed:
            await self.changed.notify_all()


class Bench:
    """A placer over stubs."""

    def __init__(self, core, document=None, **options):
        free = options.pop("free", {"puget_1": 1})
        self.fleet = FleetStub(core, **free)
        self.feed = FeedStub(document or make_document(a={}, b={}), **options)
        self.placer = placement.Placer(core, self.feed, self.fleet)

    async def place(self, customer="a", timeout_s=5.0, **fields):
        avoid = fields.pop("avoid", frozenset())
        job = policies.Job("plan", customer, 10, region="north", priority=10, **fields)
        return await self.placer.place(job, timeout_s, avoid)


def run(scenario, **options):
    """Run an asynchronous scenario with a bench."""
    registry.load_plugins()

    async def main():
        host = settings.HostSettings("entry-1", "puget", "127.0.0.1:1", "127.0.0.1:2", "")
        async with kernel.Kernel("entry", host, b"", clock.SystemClock()) as core:
            await scenario(Bench(core, **options))

    async def bounded():
        async with curio.timeout_after(20):
            await main()

    curio.run(bounded)


class TestWaiting:
    def test_request_gets_the_slot_that_another_gives_back(self):
        async def scenario(bench):
            first = await bench.place()
            second = await curio.spawn(bench.place, "b")
            await curio.sleep(0.05)
            assert bench.placer.waiting == 1
            await bench.fleet.release(first.holding, "finished")
            assert (await second.join()).holding.customer == "b"
            assert bench.placer.waiting == 0

        run(scenario)

    def test_a_refusing_server_is_not_asked_again_until_something_changes(self):
        async def scenario(bench):
            with pytest.raises(exceptions.NotRunError):
                await bench.place(timeout_s=0.5)
            assert len(bench.fleet.asked) == 1

        run(scenario, free={"puget_1": 0})

    def test_time_out_is_not_run_with_a_time_to_come_back(self):
        async def scenario(bench):
            await bench.place()
            with pytest.raises(exceptions.NotRunError) as caught:
                await bench.place(timeout_s=0.05)
            assert caught.value.retry_after >= 1
            assert bench.placer.waiting == 0

        run(scenario)

    def test_slot_that_comes_after_the_caller_went_is_given_back(self):
        async def scenario(bench):
            bench.fleet.delay_s = 0.1
            task = await curio.spawn(bench.place)
            await curio.sleep(0.05)
            await task.cancel()
            await curio.sleep(0.2)
            assert bench.fleet.outcomes == ["unused"]
            assert (bench.placer.waiting, bench.placer.placed) == (0, {})

        run(scenario)

    def test_loss_of_the_lease_refuses_all_that_wait(self):
        async def scenario(bench):
            held = await bench.place()
            task = await curio.spawn(bench.place, "b")
            await curio.sleep(0.05)
            bench.feed.leased = False
            await bench.fleet.release(held.holding, "finished")
            with pytest.raises(curio.TaskError) as caught:
                await task.join()
            assert isinstance(caught.value.__cause__, exceptions.NotRunError)

        run(scenario)


class TestCustomers:
    def test_full_line_refuses_the_customer_that_waits_for_most(self):
        async def scenario(bench):
            await bench.place()
            large = [await curio.spawn(bench.place, "a") for _ in range(3)]
            await curio.sleep(0.05)
            small = await curio.spawn(bench.place, "b")
            await curio.sleep(0.05)
            assert [task.terminated for task in large] == [False, False, True]
            assert not small.terminated
            for task in (*large, small):
                await task.cancel()

        run(scenario, max_waiting=3)

    def test_customer_has_no_more_running_than_it_may(self):
        async def scenario(bench):
            bench.fleet.delay_s = 0.02
            tasks = [await curio.spawn(bench.place, "a") for _ in range(4)]
            await curio.sleep(0.3)
            assert len(bench.fleet.holdings) == 2
            for task in tasks:
                await task.cancel()

        document = make_document(a={"max_running": 2})
        run(scenario, document=document, free={"puget_1": 4})

    def test_request_that_few_servers_can_take_holds_up_no_other(self):
        async def scenario(bench):
            picky = await curio.spawn(bench.place, "a", 5.0)
            await picky.join()
            avoiding = await curio.spawn(lambda: bench.place("a", avoid=frozenset(["puget_1"])))
            await curio.sleep(0.02)
            assert (await bench.place("b")).holding.server == "puget_1"
            await avoiding.cancel()

        run(scenario, free={"puget_1": 2})


class TestChoice:
    def test_own_region_first_and_another_only_when_it_is_exhausted(self):
        async def scenario(bench):
            tasks = [await curio.spawn(bench.place) for _ in range(8)]
            await curio.sleep(0.3)
            servers = [holding.server for holding in bench.fleet.holdings.values()]
            assert servers.count("puget_1") == 2
            # As many as `cross_region_cost` stay behind rather than leave the region.
            assert servers.count("yakima_1") == 2
            assert bench.placer.waiting == 4
            for task in tasks:
                await task.cancel()

        run(scenario, free={"puget_1": 2, "yakima_1": 4})

    def test_requests_between_two_views_spread_over_servers(self):
        async def scenario(bench):
            bench.fleet.delay_s = 0.05
            tasks = [await curio.spawn(bench.place) for _ in range(6)]
            await curio.sleep(0.3)
            servers = [holding.server for holding in bench.fleet.holdings.values()]
            assert max(map(servers.count, set(servers))) == 2
            for task in tasks:
                await task.join()

        run(scenario, free={"puget_1": 4, "puget_2": 4, "puget_3": 4})

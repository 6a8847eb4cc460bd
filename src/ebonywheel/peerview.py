"""What a control host takes from the watches that it keeps at the other control hosts."""

from ebonywheel import kernel, link, messages, watchserver


class PeerView:
    """Receives the other control hosts' records of backend servers."""

    def __init__(self, core: kernel.Kernel, watches: watchserver.WatchServer):
        self.core = core
        self.watches = watches

    def watch_request(self, nearest: bool) -> messages.WatchRequest:
        """Return this control host's watch request; it needs no load from the nearest."""
        routing = self.watches.state_machine.data.routing
        return messages.WatchRequest(
            host=self.core.host.name, routing_index=routing.index, out_index=routing.out_index
        )

    def distance(self, data_centre: str) -> float:
        """Return the same distance for all, as this host asks all for the same."""
        return 0.0

    async def update(
        self,
        request: messages.WatchRequest,
        reply: messages.WatchReply,
        connection: link.Link,
        asked_at: float,
    ) -> None:
        """Add the records that another control host received."""
        for record in reply.records:
            await self.watches.observe(record, direct=False)

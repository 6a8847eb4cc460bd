"""HTTP/1.1 server for callers, backend servers and operators: h11 over curio sockets.

The exchanges of a connection are served one after the other.
"""

import curio
import h11

from ebonywheel import (
    callerconnection,
    exceptions,
    heldmemory,
    http,
    kernel,
    lingering,
    settings,
    sockets,
)

MAX_CONNECTIONS = 8192
# Share of the descriptors that one server's connections may take.
DESCRIPTORS_SHARE = 1 / 2
# Memory counted for a connection: its tasks, and a head and requests sent ahead, which are bounded.
CONNECTION_BYTES = 40 * 1024
LINGER_S = lingering.LAST_LINGER_S
ACCEPT_BACKLOG = 1024
ACCEPT_PAUSE_S = 0.05


class Server:
    """Accepts HTTP connections and hands each exchange to a handler.

    Attributes:
        active_exchanges: Number of exchanges that are being read, handled or answered.
        open_connections: Number of connections, lingering ones included.
        lingerer: Lets connections deliver their last response.
        unread: Connections that are idle, or whose next request has not been read yet.
        listener: The socket that accepts connections, None before `start`.
        stopped: Whether no more connections are accepted.
        account: Counts the memory that is held for callers.
        check_head: Decides by a head whether a large body is read, None to read all.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        address: str,
        handler: http.ExchangeHandler,
        max_body_bytes: int,
        account: heldmemory.Account | None = None,
    ):
        self.core = core
        self.address = address
        self.handler = handler
        self.limits = callerconnection.ServerLimits(
            max_body_bytes,
            header_s=callerconnection.HEADER_TIMEOUT_S,
            body_s=callerconnection.BODY_TIMEOUT_S,
        )
        self.limits.idle_s = callerconnection.IDLE_TIMEOUT_S
        self.active_exchanges = 0
        self.account = account or core.callers
        self.check_head: http.HeadCheck | None = None
        self.open_connections = 0
        self.lingerer = lingering.Lingering()
        self.unread: set[callerconnection.CallerConnection] = set()
        self.listener: curio.io.Socket | None = None
        self.accept_task: curio.Task | None = None
        self.stopped = False

    async def start(self) -> None:
        """Bind the address and start accepting.

        Raises:
            SettingsError: The address cannot be bound.
        """
        host, port = settings.split_address(self.address)
        try:
            self.listener = sockets.listen(host, port, ACCEPT_BACKLOG)
        except OSError as error:
            raise exceptions.SettingsError(str(error), "bind http", self.address) from error
        self.core.exit_stack.push_async_callback(self.listener.close)
        self.accept_task = await self.core.spawn(self._accept(self.listener), essential=True)

    async def stop_accepting(self) -> None:
        """Accept no more connections, and close those that have no request to be answered.

        The others are closed once the requests that they have sent are answered.
        """
        self.stopped = True
        await self.accept_task.cancel()
        await self.listener.close()
        for connection in list(self.unread):
            await connection.task.cancel(blocking=False)

    async def _accept(self, sock: curio.io.Socket) -> None:
        while True:
            try:
                client, address = await sock.accept()
            except OSError:
                # The caller closed the connection, or no file descriptor is free. Other callers
                # may still be served.
                self.core.metrics.count("http_accept_errors")
                await curio.sleep(ACCEPT_PAUSE_S)
                continue
            if self.open_connections >= self._max_connections() and not self.account.shed_one():
                self.core.metrics.count("http_connections_refused")
                await client.close()
                continue
            connection = callerconnection.CallerConnection(
                self, client, f"{address[0]}:{address[1]}", None
            )
            if not connection.held.grow(CONNECTION_BYTES):
                self.core.metrics.count("http_connections_refused")
                await client.close()
                continue
            self.open_connections += 1
            sockets.set_tcp_options(client)
            sockets.take_small_parts(client)
            await self.core.spawn(self._serve_connection(connection))

    def _max_connections(self) -> int:
        descriptors = self.core.max_descriptors
        return min(MAX_CONNECTIONS, int(descriptors * DESCRIPTORS_SHARE))

    @property
    def lingering(self) -> int:
        """Number of connections that may still deliver their last response."""
        return self.lingerer.count

    async def _serve_connection(self, connection: callerconnection.CallerConnection) -> None:
        connection.task = await curio.current_task()
        sock = connection.sock
        try:
            async with sock:
                try:
                    while await self._serve_next(connection):
                        pass
                finally:
                    broken_off = connection.mark_break()
                    await connection.outbox.close()
                    connection.request_held.release()
                if broken_off:
                    return
                last = self.stopped
                timeout_s = lingering.LAST_LINGER_S if last else lingering.LINGER_S
                deaf = bool(connection.request_held.shed_reason)
                await self.lingerer.linger(sock, timeout_s, deaf)
        finally:
            connection.held.release()
            self.open_connections -= 1

    async def _serve_next(self, connection: callerconnection.CallerConnection) -> bool:
        if self.stopped:
            connection.last_requests += 1
            if not connection.may_go_on():
                return False
        self.unread.add(connection)
        connection.held.wait(connection.sock.stop_receiving_now)
        try:
            if not await connection.wait_request():
                return False
        except exceptions.NotRunError as error:
            # Shed while the first bytes of a request were on their way.
            self.core.metrics.count("http_bad_requests", status=str(error.status))
            await callerconnection.send_error(connection, error)
            return False
        except exceptions.HttpError:
            self.core.metrics.count("http_idle_closed")
            return False
        finally:
            self.unread.discard(connection)
        self.active_exchanges += 1
        try:
            return await self._serve_request(connection)
        finally:
            self.active_exchanges -= 1

    async def _serve_request(self, connection: callerconnection.CallerConnection) -> bool:
        self.unread.add(connection)
        try:
            request = await connection.read_request()
        except (exceptions.HttpError, exceptions.NotRunError) as error:
            self.core.metrics.count("http_bad_requests", status=str(error.status))
            connection.request_held.release()
            await callerconnection.send_error(connection, error)
            return False
        finally:
            connection.held.stop_waiting()
            self.unread.discard(connection)
        if request is None:
            return False
        try:
            return await self._handle(connection, http.Exchange(connection, request))
        finally:
            connection.request_held.release()

    async def _handle(
        self, connection: callerconnection.CallerConnection, exchange: http.Exchange
    ) -> bool:
        try:
            await self.handler(exchange)
        except exceptions.EbonywheelError as error:
            self.core.metrics.count("http_errors", code=error.code)
            status = getattr(error, "status", 500)
            body = http.ErrorBody(error.code, error.text, error.step, error.peer)
            await exchange.fail(status, body)
        except (Exception, curio.TaskTimeout) as error:
            self.core.metrics.count("http_errors", code="internal")
            self.core.log.error("handler_failed", path=exchange.request.path, error=repr(error))
            await exchange.fail(500, http.ErrorBody("internal", "internal error"))
        if not exchange.ended:
            return False
        if connection.conn.our_state is not h11.DONE:
            return False
        if connection.conn.their_state is not h11.DONE:
            return False
        connection.conn.start_next_cycle()
        return True

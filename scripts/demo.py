"""Run a demonstration: three data centres on loopback addresses, each program a process.

Streams a plan, books a slot twice with one idempotency key, and takes a data centre out and brings
it back while plans are streaming. All processes that it starts are ended again.
"""

import argparse
import contextlib
import hashlib
import json
import pathlib
import secrets
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCUMENT_PATH = ROOT / "examples" / "cooperative.toml"
DATA_CENTRES = ("puget", "yakima", "willamette")
CUSTOMER_KEY = "cascade-press-demo-key"
LINK_PORT = 17100
HTTP_PORT = 17101
PLANNERS = 6
BOOKERS = 3
TIMEOUT_S = 30.0
PLAN_TOKENS = 60
LONG_PLAN_TOKENS = 400


def control_ip(number: int) -> str:
    """Return a control host's loopback address."""
    return f"127.0.1.{number}"


def entry_ip(number: int) -> str:
    """Return an entry host's loopback address."""
    return f"127.0.2.{number}"


class Demo:
    """Starts and drives the processes of one demonstration.

    Attributes:
        programs: Folder of the installed programs.
        folder: Folder of settings, secrets, data and logs.
        stack: Ends the processes when it closes.
        token: Operator's token.
        secret_file: Path of the secret that control and entry hosts share.
        server_secret_file: Path of the secret that entry hosts and backend servers share.
        token_file: Path of the operator's token.
        operator_settings_file: Path of the operator's settings.
    """

    def __init__(self, programs: pathlib.Path, folder: pathlib.Path, stack: contextlib.ExitStack):
        self.programs = programs
        self.folder = folder
        self.stack = stack
        self.token = secrets.token_hex(16)
        self.secret_file = self._write("secret", secrets.token_hex(16))
        self.server_secret_file = self._write("server-secret", secrets.token_hex(16))
        self.token_file = self._write("token", self.token)
        self.operator_settings_file = self._write("operator.toml", self._operator_settings())

    def run(self) -> None:
        """Run the whole demonstration."""
        self._start_system()
        self._print_heading("status")
        self._run_operator("status")
        self._print_heading("a plan, streamed")
        self._stream_plan(entry_ip(1), PLAN_TOKENS, show=True)
        self._print_heading("a booking, sent twice with one idempotency key: it runs once")
        self._book_twice()
        self._print_heading("puget is taken out and brought back while plans are streaming")
        self._take_out_and_bring_back()
        self._print_heading("the audit trail")
        self._run_operator("audit")

    def keep(self) -> None:
        """Start the system and keep it running until a signal ends this program."""
        self._start_system()
        self._run_operator("status")
        print(
            f"\nsettings, secrets, data and logs: {self.folder}\n"
            f"operate it with: ebonywheel --settings {self.operator_settings_file} status\n"
            f"entry hosts: {', '.join(f'{entry_ip(n)}:{HTTP_PORT}' for n in (1, 2, 3))}, "
            f"customer key: {CUSTOMER_KEY}\nend it with Ctrl-C",
            flush=True,
        )
        signal.pause()

    def _start_system(self) -> None:
        for number, data_centre in enumerate(DATA_CENTRES, start=1):
            settings = self._write(
                f"control-{number}.toml", self._control_settings(number, data_centre)
            )
            self._start_program("ebonywheel-control", f"control-{number}", "run", settings)
        for number, data_centre in enumerate(DATA_CENTRES, start=1):
            settings = self._write(
                f"entry-{number}.toml", self._entry_settings(number, data_centre)
            )
            self._start_program("ebonywheel-entry", f"entry-{number}", "run", settings)
        self._print_heading("document applied")
        self._wait_for(
            lambda: self._operator_succeeds("apply", str(DOCUMENT_PATH)), "the control hosts"
        )
        for number in range(PLANNERS):
            self._start_stand_in("engine", f"planner-{number + 1}", number, 17200 + number)
        for number in range(BOOKERS):
            self._start_stand_in("plain", f"booker-{number + 1}", number, 17300 + number)
        self._wait_for(self._servers_have_slots, "the backend servers")

    def _start_stand_in(self, kind: str, name: str, number: int, port: int) -> None:
        entries = [f"{entry_ip(n)}:{HTTP_PORT}" for n in (1, 2, 3)]
        options = ["--name", name, "--data-centre", DATA_CENTRES[number % 3]]
        options += ["--address", f"127.0.3.1:{port}", "--secret-file", self.server_secret_file]
        self._start_program("ebonywheel-load", name, kind, *options, "--entries", *entries)

    def _stream_plan(self, ip: str, tokens: int, show: bool = False) -> str:
        body = json.dumps({"prompt": "press plan for the week", "length": tokens}).encode()
        request = self._request(ip, "/v1/services/plan", body)
        indexes, outcome = [], "no end"
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            for line in response:
                text = line.decode().strip()
                if text.startswith("id: "):
                    indexes.append(int(text.rpartition(":")[2]))
                elif text.startswith("event: "):
                    outcome = text.removeprefix("event: ")
                elif show and text.startswith("data: ") and outcome == "no end":
                    print(json.loads(text.removeprefix("data: "))["text"], end="", flush=True)
        if show:
            print()
        complete = indexes == list(range(tokens))
        return f"{len(indexes)} tokens, {'whole and in order' if complete else 'BROKEN'}, {outcome}"

    def _book_twice(self) -> None:
        key = _uuid7()
        for ip in (entry_ip(1), entry_ip(2)):
            request = self._request(ip, "/v1/services/rota/calls/slots", b'{"slot":"tuesday-8"}')
            request.add_header("idempotency-key", key)
            with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
                print(f"through {ip}: {response.status} {response.read().decode()}")

    def _take_out_and_bring_back(self) -> None:
        results: list[str] = []
        threads = [
            threading.Thread(
                target=lambda ip=entry_ip(n): results.append(
                    self._stream_plan(ip, LONG_PLAN_TOKENS)
                )
            )
            for n in (1, 2, 3)
        ]
        for thread in threads:
            thread.start()
        time.sleep(1)
        self._run_operator("take-out", "production", "puget")
        time.sleep(2)
        self._run_operator("status")
        self._run_operator("bring-back", "production", "puget")
        for thread in threads:
            thread.join()
        for result in results:
            print(f"streamed through the move: {result}")

    def _request(self, ip: str, path: str, body: bytes) -> urllib.request.Request:
        headers = {"authorization": f"Bearer {CUSTOMER_KEY}", "content-type": "application/json"}
        return urllib.request.Request(f"http://{ip}:{HTTP_PORT}{path}", body, headers)

    def _run_operator(self, *arguments: str) -> None:
        print(f"$ ebonywheel {' '.join(arguments)}", flush=True)
        subprocess.run(self._operator_command(*arguments), check=True)

    def _operator_succeeds(self, *arguments: str) -> bool:
        return (
            subprocess.run(self._operator_command(*arguments), capture_output=True).returncode == 0
        )

    def _operator_command(self, *arguments: str) -> list[str]:
        return [
            str(self.programs / "ebonywheel"),
            "--settings",
            self.operator_settings_file,
            *arguments,
        ]

    def _servers_have_slots(self) -> bool:
        result = subprocess.run(self._operator_command("--json", "status"), capture_output=True)
        if result.returncode:
            return False
        hosts = json.loads(result.stdout)["entry_hosts"]
        servers = [server for host in hosts for server in host["load"].get("servers", [])]
        return sum(server["limit"] > 0 for server in servers) >= PLANNERS + BOOKERS

    def _start_program(self, program: str, log_name: str, *arguments: str) -> None:
        log = self.stack.enter_context(open(self.folder / f"{log_name}.log", "wb"))
        process = subprocess.Popen(
            [str(self.programs / program), *arguments], stdout=log, stderr=log
        )
        self.stack.callback(_end_process, process)

    def _wait_for(self, check, description: str) -> None:
        deadline = time.monotonic() + TIMEOUT_S
        while not check():
            if time.monotonic() > deadline:
                raise SystemExit(f"error: {description} did not come up; logs are in {self.folder}")
            time.sleep(0.2)

    def _print_heading(self, text: str) -> None:
        print(f"\n== {text}", flush=True)

    def _host_settings(self, name: str, data_centre: str, ip: str) -> str:
        return (
            f'[host]\nname = "{name}"\ndata_centre = "{data_centre}"\nlink = "{ip}:{LINK_PORT}"\n'
            f'http = "{ip}:{HTTP_PORT}"\nsecret_file = "{self.secret_file}"\n'
        )

    def _peer_settings(self, table: str) -> str:
        return "\n".join(
            f'[[{table}]]\nname = "control-{number}"\ndata_centre = "{data_centre}"\n'
            f'link = "{control_ip(number)}:{LINK_PORT}"'
            for number, data_centre in enumerate(DATA_CENTRES, start=1)
        )

    def _control_settings(self, number: int, data_centre: str) -> str:
        digest = hashlib.sha256(self.token.encode()).hexdigest()
        host = self._host_settings(f"control-{number}", data_centre, control_ip(number))
        return (
            f'data_folder = "{self.folder}/data-{number}"\noperators = {{ ann = "{digest}" }}\n'
            f"{host}{self._peer_settings('peers')}\n"
        )

    def _entry_settings(self, number: int, data_centre: str) -> str:
        host = self._host_settings(f"entry-{number}", data_centre, entry_ip(number))
        return (
            f'environment = "production"\nserver_secret_file = "{self.server_secret_file}"\n'
            f"drain_grace_s = 0.5\n{host}{self._peer_settings('control')}\n"
        )

    def _operator_settings(self) -> str:
        hosts = ", ".join(f'"{control_ip(n)}:{HTTP_PORT}"' for n in (1, 2, 3))
        return f'operator = "ann"\ntoken_file = "{self.token_file}"\ncontrol = [{hosts}]\n'

    def _write(self, name: str, text: str) -> str:
        path = self.folder / name
        path.touch(mode=0o600)
        path.write_text(text)
        return str(path)


def _uuid7() -> str:
    value = int(time.time() * 1000) << 80 | 7 << 76 | 0b10 << 62 | secrets.randbits(62)
    return str(uuid.UUID(int=value))


def _exit_on_signal(number: int, frame: object) -> None:
    raise SystemExit(f"\n== ending because of {signal.Signals(number).name}")


def _end_process(process: subprocess.Popen) -> None:
    if process.poll() is None:
        process.send_signal(signal.SIGTERM)
    try:
        process.wait(10)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def main() -> int:
    """Run the demonstration."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("programs", type=pathlib.Path, help="folder of the installed programs")
    parser.add_argument(
        "--keep", action="store_true", help="start the system and keep it until Ctrl-C"
    )
    arguments = parser.parse_args()
    started_at = time.monotonic()
    # SIGINT is set explicitly because shells start background jobs with it ignored.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _exit_on_signal)
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="ebonywheel-demo-"))
        demo = Demo(arguments.programs, pathlib.Path(folder), stack)
        if arguments.keep:
            demo.keep()
            return 0
        demo.run()
        print("\n== ending", flush=True)
    print(f"done in {time.monotonic() - started_at:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())

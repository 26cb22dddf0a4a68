"""Runs a small fleet on the loopback address, with stand-ins for other systems."""

from __future__ import annotations

import hashlib
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec
import urllib3
import yaml

from tools.caller import Caller
from tools.caller import Reply
from tools.processes import START_TIMEOUT_S
from tools.processes import PortAllocator
from tools.processes import Process
from tools.processes import build_environment
from tools.processes import wait_until


if TYPE_CHECKING:
    from types import TracebackType

_ROOT = Path(__file__).resolve().parent.parent
_COMMAND_TIMEOUT_S = 60


class Entry(NamedTuple):
    """A running entry; ``address`` is the one for agents and other entries."""

    process: Process
    caller_address: str
    address: str
    operator_address: str


class Agent(NamedTuple):
    """A running agent and its backend server.

    ``relay_control_address`` is empty if entries reach the agent without a relay.
    """

    process: Process
    address: str
    server: Process
    server_address: str
    kind: str
    relay_control_address: str = ""


def compute_key_digest(api_key: str) -> str:
    """Return the digest under which a manifest lists a bearer key."""
    return hashlib.sha256(api_key.encode()).hexdigest()


class Fleet:
    """The processes of a fleet by name; leaving the ``with`` block kills them."""

    def __init__(self, timings: dict[str, float] | None = None) -> None:
        self._temporary_directory = tempfile.TemporaryDirectory(prefix="kingcupwheel-")
        self._folder_path = Path(self._temporary_directory.name)
        self._timings = timings or {}
        self._port_allocator = PortAllocator()
        self._http = urllib3.PoolManager(retries=False, timeout=10.0)
        self.entries: dict[str, Entry] = {}
        self.agents: dict[str, Agent] = {}
        self.stand_ins: dict[str, Process] = {}
        self.platform_address = ""

    def __enter__(self) -> Fleet:
        """Start the platform stand-in."""
        process, address = self.start_stand_in("platform", "tests.standins.platform")
        self.platform_address = address
        del process
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill every process and delete the fleet's files."""
        for process in self.processes:
            process.kill()
        self._port_allocator.close()
        self._temporary_directory.cleanup()

    @property
    def processes(self) -> tuple[Process, ...]:
        """The current processes, without those that were replaced."""
        entries = [entry.process for entry in self.entries.values()]
        agents = [agent.process for agent in self.agents.values()]
        return (*entries, *agents, *self.stand_ins.values())

    @property
    def folder(self) -> Path:
        """Folder of the fleet's settings and logs."""
        return self._folder_path

    def read_log(self, name: str) -> str:
        """Return the log of a process."""
        return (self._folder_path / f"{name}.log").read_text()

    def start_stand_in(
        self, name: str, module: str, *options: str, port: int = 0
    ) -> tuple[Process, str]:
        """Start a stand-in; return its process and its ``IP:port``.

        A restarted server needs its previous ``port``.
        """
        arguments = [
            module,
            "--port",
            str(port or self._port_allocator.allocate()),
            *options,
        ]
        process = Process(name, arguments, self._folder_path / f"{name}.log")
        self.stand_ins[name] = process
        return process, process.read_line()

    def add_agent(
        self,
        name: str,
        group: str,
        *,
        kind: str = "engine",
        data_centre: str = "dc-1",
        options: tuple[str, ...] = (),
        limits: dict[str, Any] | None = None,
        relayed: bool = False,
        server_settings: dict[str, Any] | None = None,
    ) -> Agent:
        """Start a backend server and its agent, and register the instance.

        With ``relayed``, the entries reach the agent through a TCP relay.
        """
        module = f"tests.standins.{kind}"
        server, server_address = self.start_stand_in(f"{name}-server", module, *options)
        address = f"127.0.0.1:{self._port_allocator.allocate()}"
        settings = self._build_settings(name, "agent", address, data_centre)
        settings["group"] = group
        settings["server"] = {
            "url": f"http://{server_address}",
            "adapter": kind,
            "silence_s": self._timings.get("gone_s", 10.0),
            **(server_settings or {}),
        }
        settings["agent"] = limits or {}
        process = self._start_daemon(name, "agent", settings)
        agent = Agent(process, address, server, server_address, kind)
        if relayed:
            relay, listed = self.add_relay(f"{name}-relay", address)
            agent = agent._replace(relay_control_address=relay, address=listed)
        self.agents[name] = agent
        self.register_instance(name, "agent", group, data_centre, agent.address)
        return agent

    def add_relay(self, name: str, target: str) -> tuple[str, str]:
        """Start a TCP relay; return its control address and its listen address."""
        process = Process(
            name,
            ["tests.standins.relay", "--target", target],
            self._folder_path / f"{name}.log",
        )
        self.stand_ins[name] = process
        relayed = process.read_line()
        return process.read_line(), relayed

    def start_ranks(self, ranks: int, experts: int) -> tuple[Process, list[str]]:
        """Start lock-stepped ranks; return their process and the address of each."""
        options = ["--ranks", str(ranks), "--experts", str(experts)]
        process = Process(
            "ranks", ["tests.standins.ranks", *options], self._folder_path / "ranks.log"
        )
        self.stand_ins["ranks"] = process
        return process, [process.read_line() for _ in range(ranks)]

    def get_json(self, address: str, path: str) -> Any:
        """Return the decoded response to a GET request."""
        return self._call_stand_in("GET", address, path)

    def post_json(self, address: str, path: str, body: Any) -> None:
        """Send a JSON body in a POST request."""
        self._call_stand_in("POST", address, path, body)

    def get_object(self, key: str) -> bytes | None:
        """Return the value stored on the platform under ``key``, or None."""
        response = self._http.request(
            "GET", f"http://{self.platform_address}/v1/objects/{key}"
        )
        return response.data if response.status == 200 else None

    def set_relay_mode(self, control: str, mode: str) -> None:
        """Set a relay's mode: pass, cut, freeze-open or freeze-all."""
        self._call_stand_in("POST", control, "/test/mode", {"mode": mode})

    def set_server_faults(self, agent: str, **faults: Any) -> None:
        """Set the faults of an agent's server stand-in."""
        address = self.agents[agent].server_address
        self._call_stand_in("POST", address, "/test/set", faults)

    def restart_agent(self, name: str) -> Agent:
        """Start a new process of the agent with the same settings and server."""
        agent = self.agents[name]
        process = self._launch_daemon(name, "agent")
        self.agents[name] = agent._replace(process=process)
        return self.agents[name]

    def restart_server(self, name: str, options: tuple[str, ...] = ()) -> None:
        """Start a new process of an agent's backend server at the same address."""
        agent = self.agents[name]
        port = int(agent.server_address.rpartition(":")[2])
        server, _ = self.start_stand_in(
            f"{name}-server", f"tests.standins.{agent.kind}", *options, port=port
        )
        self.agents[name] = agent._replace(server=server)

    def add_entry(
        self,
        name: str,
        *,
        data_centre: str = "dc-1",
        seeds: tuple[str, ...] = (),
        limits: dict[str, Any] | None = None,
        platform: str = "",
    ) -> Entry:
        """Start an entry and register it.

        ``platform`` overrides the platform's address, such as by that of a relay.
        """
        address = f"127.0.0.1:{self._port_allocator.allocate()}"
        http = f"127.0.0.1:{self._port_allocator.allocate()}"
        settings = self._build_settings(name, "entry", address, data_centre)
        settings["http"] = http
        settings["seeds"] = list(seeds)
        settings["entry"] = limits or {}
        if platform:
            settings["platform"] = {"url": f"http://{platform}"}
        operators = f"127.0.0.1:{self._port_allocator.allocate()}"
        settings["operator_http"] = operators
        process = self._start_daemon(name, "entry", settings)
        entry = Entry(process, http, address, operators)
        self.entries[name] = entry
        self.register_instance(name, "entry", "", data_centre, address, http)
        return entry

    def restart_entry(self, name: str) -> Entry:
        """Start a new process of the entry with the same settings."""
        process = self._launch_daemon(name, "entry")
        self.entries[name] = self.entries[name]._replace(process=process)
        return self.entries[name]

    def _build_settings(
        self, name: str, role: str, address: str, data_centre: str
    ) -> dict[str, Any]:
        return {
            "name": name,
            "role": role,
            "data_centre": data_centre,
            "listen": address,
            "platform": {"url": f"http://{self.platform_address}"},
            "timings": self._timings,
        }

    def _start_daemon(self, name: str, role: str, settings: dict[str, Any]) -> Process:
        path = self._folder_path / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return self._launch_daemon(name, role)

    def _launch_daemon(self, name: str, role: str) -> Process:
        path = self._folder_path / f"{name}.yaml"
        arguments = ["kingcupwheel", role, "--settings", str(path)]
        return Process(name, arguments, self._folder_path / f"{name}.log")

    def register_instance(
        self,
        name: str,
        role: str,
        group: str,
        data_centre: str,
        address: str,
        http: str = "",
        *,
        leaving: bool = False,
    ) -> None:
        """Put an instance on the platform's list of instances."""
        instance = {
            "name": name,
            "role": role,
            "group": group,
            "data_centre": data_centre,
            "address": address,
            "http": http,
            "leaving": leaving,
        }
        self._call_stand_in(
            "PUT", self.platform_address, f"/test/instances/{name}", instance
        )

    def deregister_instance(self, name: str) -> None:
        """Remove an instance from the platform's list of instances."""
        self._call_stand_in("DELETE", self.platform_address, f"/test/instances/{name}")

    def set_platform_faults(self, address: str = "", **switches: Any) -> None:
        """Set the faults of the platform stand-in, or of the one at ``address``."""
        self._call_stand_in(
            "PUT", address or self.platform_address, "/test/switches", switches
        )

    def _call_stand_in(
        self, method: str, address: str, path: str, body: Any = None
    ) -> Any:
        payload = None if body is None else msgspec.json.encode(body)
        response = self._http.request(method, f"http://{address}{path}", body=payload)
        assert response.status < 300, (path, response.status, response.data)
        return msgspec.json.decode(response.data) if response.data else None

    def list_object_keys(self) -> list[str]:
        """Return the keys of all objects stored on the platform."""
        keys: list[str] = self._call_stand_in(
            "GET", self.platform_address, "/v1/objects?prefix="
        )
        return keys

    def get_run_counts(self, agent: str) -> Any:
        """Return the run counters of the agent's server."""
        return self._call_stand_in(
            "GET", self.agents[agent].server_address, "/test/runs"
        )

    def submit_manifest(
        self, manifest: dict[str, Any], *options: str
    ) -> subprocess.CompletedProcess[str]:
        """Submit a manifest through the command line."""
        with tempfile.NamedTemporaryFile(
            "w", suffix=".yaml", dir=self._folder_path, delete=False
        ) as file:
            yaml.safe_dump(manifest, file)
        platform = f"http://{self.platform_address}"
        return self.run_command(
            "manifest", "submit", file.name, "--platform", platform, *options
        )

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a ``kingcupwheel`` command and return its exit code and output."""
        return subprocess.run(
            [sys.executable, "-m", "kingcupwheel", *arguments],
            cwd=_ROOT,
            env=build_environment(),
            capture_output=True,
            text=True,
            timeout=_COMMAND_TIMEOUT_S,
            check=False,
        )

    def wait_until_serving(self, api_key: str, path: str, body: Any) -> None:
        """Wait until a call to ``path`` through every entry is answered."""
        caller = Caller(api_key)
        for entry in self.entries.values():
            wait_until(
                lambda http=entry.caller_address: _is_serving(caller, http, path, body),  # type: ignore[misc]
                f"an answer through {entry.caller_address}",
                START_TIMEOUT_S,
            )

    def wait_until_configured(self) -> None:
        """Wait until every entry has a manifest and has every agent in service."""
        for name, entry in self.entries.items():
            wait_until(
                lambda entry=entry: self._is_configured(entry),  # type: ignore[misc]
                f"the manifest and every agent at {name}",
                START_TIMEOUT_S,
            )

    def _is_configured(self, entry: Entry) -> bool:
        try:
            answer = self._http.request(
                "GET", f"http://{entry.operator_address}/status"
            )
        except urllib3.exceptions.HTTPError:
            return False
        status = msgspec.json.decode(answer.data)
        in_service = {row["server"] for row in status["servers"] if row["in_service"]}
        return bool(status["manifest_version"]) and in_service >= self.agents.keys()


def _is_serving(caller: Caller, http: str, path: str, body: Any) -> bool:
    reply = caller.call(http, path, body)
    return isinstance(reply, Reply) and reply.status == 200

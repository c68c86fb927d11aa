"""Stand-in for a model replica that holds a range of layers."""

import json
import threading
import time

from lab import Replica

EVENT_S = 0.05
STALL_S = 2.5
"""bounds.stall_ms of the sites."""


class Engine(Replica):
    """Model replica: takes orders to load layers and streams as a first stage.

    kind is its card; engines holds all engines by address, so that a first stage
    stalls while a later one is dead.
    """

    engines = {}
    has_begun = False
    """Whether a request has come; loads before it take a tenth of the time."""

    def __init__(self, lab, name, service, zone, *, kind, layers, load_s, events=60):
        self.kind, self.layer_count, self.load_s = kind, layers, load_s
        self.events = events
        self.layers = None
        self.is_busy = False
        self.orders = 0
        self.is_alive = True
        self._order_lock = threading.Lock()
        super().__init__(lab, name, service, zone, slots=96)
        Engine.engines[self.address] = self

    def entry(self):
        """Return the registry entry with the card and the layers."""
        layers = self.layers
        held = None
        if layers is not None:
            held = [{"from": layers[0], "to": layers[1], "version": 1}]
        more = {"kind": self.kind, "stage": "both", "busy": self.is_busy}
        return {**super().entry(), **more, **({"layers": held} if held else {})}

    def crash(self):
        """End at once: connections are reset, the entry stays for three heartbeats."""
        self.is_alive = False
        self._lab.record.write(f"{self.name} ({self.kind}) crashes")
        name, store = self.name, self._lab.store
        self._stopped.set()
        self._end()
        threading.Timer(3 * 1.2, lambda: store.put("keyed.servers", name, None)).start()

    def control(self, connection, method, path, body):
        """Answer a report or an order."""
        if path == "/persimmonwell/report":
            report = {"stage": "both", "busy": self.is_busy, "sequence": self.orders}
            more = {"kv_used": 0, "kv_total": 10**8, "stalled": self.stalled()}
            data = json.dumps({**report, **more}).encode()
            self._write(connection, 200, {"Content-Type": "application/json"}, data)
            return
        order = json.loads(body)
        self._lab.record.write(f"order to {self.name} ({self.kind}): {order}")
        if order["op"] != "place":
            self._write(connection, 404, {}, b"{}")
            return
        with self._order_lock:
            if order.get("expect", self.orders) != self.orders or self.is_busy:
                self._write(connection, 409, {}, b"{}")
                return
            if self.layers == (order["from"], order["to"]):
                self._write(connection, 200, {}, b"{}")
                return
            self.orders += 1
            self.is_busy = True
            self.layers = None
        self._write(connection, 202, {}, b"{}")
        threading.Thread(target=self._load, args=(order,), daemon=True).start()

    def _load(self, order):
        self.beat()
        share = (order["to"] - order["from"]) / self.layer_count
        time.sleep(self.load_s * share * (1.0 if Engine.has_begun else 0.1))
        with self._order_lock:
            self.layers, self.is_busy = (order["from"], order["to"]), False
        if self.is_alive:
            self.beat()

    def stalled(self):
        """Return the rows of the report that name stalled stages."""
        return [
            {"id": request_id, "address": address}
            for request_id, address in list(self._stalled.items())
        ]

    _stalled: dict = {}

    def holds(self, start, stop):
        """Return whether the engine is alive and holds a range of layers."""
        held = self.layers
        return (
            self.is_alive and held is not None and held[0] <= start and stop <= held[1]
        )

    def run(self, connection, method, path, headers, body, echo):
        """Stream events while every stage of the path is there."""
        Engine.has_begun = True
        stages = []
        for part in headers.get("hop-count", "").split(","):
            address, _, span = part.partition("=")
            start, _, stop = span.partition("-")
            stages.append((Engine.engines.get(address), address, int(start), int(stop)))
        for engine, address, start, stop in stages:
            if engine is None or not engine.is_alive:
                more = {**echo, "Not-Executed": "1", "At-Server": address}
                self._write(connection, 503, more, b"")
                return
            if not engine.holds(start, stop):
                self._write(connection, 421, {**echo, "At-Server": address}, b"")
                return
        request_id = echo["Request-Id"]
        self.runs.append((self._lab.record.now_s(), request_id, headers, path))
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += f"Request-Id: {request_id}\r\nResponse-Seal: seal-{self.name}\r\n"
        connection.sendall((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            time.sleep(EVENT_S)
            dead = [row for row in stages if not row[0].holds(row[2], row[3])]
            if dead:
                self._stalled = {**self._stalled, request_id: dead[0][1]}
                time.sleep(STALL_S)
                self._stalled = {
                    k: v for k, v in self._stalled.items() if k != request_id
                }
                raise OSError("the work is cut off")
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            connection.sendall(b"%x\r\n%b\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")
        self.answered[request_id] = self._lab.record.now_s()

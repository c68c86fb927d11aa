"""A booking runs, fails at its replica with 503, and its caller is told "not run"."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from lab import Lab, Replica, route  # noqa: E402

ROUTES = [route("book", "unsafe", "desk")]
SERVICES = [{"name": "desk", "health_path": "/health", "max_connections": 96}]


class GreyReplica(Replica):
    """Runs every request and answers a share of them with its own 503.

    Such an answer has no Not-Executed, as the request has run.
    """

    is_grey = False
    count = 0

    def run(self, connection, method, path, headers, body, echo):
        """Run a request; two of five fail after their work."""
        self.count += 1
        if not self.is_grey or self.count % 5 not in (1, 3):
            super().run(connection, method, path, headers, body, echo)
            return
        self.runs.append((self._lab.record.now_s(), echo["Request-Id"], headers, path))
        self._lab.record.write(f"run and failed {self.name} id={echo['Request-Id']}")
        seal = {"Response-Seal": f"seal-{self.name}"}
        self._write(connection, 503, {**echo, **seal}, b"ledger unavailable")


def main():
    """Run the case and return the exit status."""
    with Lab(HERE) as lab:
        lab.put_config(3, ROUTES, SERVICES)
        replicas = [
            GreyReplica(lab, f"i-{n}", "desk", zone)
            for n, zone in enumerate(("za", "za", "za", "zb", "zb", "zc", "zc"))
        ]
        lab.start_hosts()
        lab.wait_ready()
        replicas[0].is_grey = lab.trouble
        answers = {}
        clients = [lab.client(name) for name in lab.hosts]
        for _ in range(60):
            for client in clients:
                sent_id, status, _ = client.request("POST", "/book/1", body=b"lane 4")
                answers[sent_id] = (client.host, status)
        ran = {request_id: r.name for r in replicas for _, request_id, _, _ in r.runs}
        broken = [
            f"REFUSED {request_id} through {host} was answered {status}"
            f" and has run at {ran[request_id]}"
            for request_id, (host, status) in answers.items()
            if status in (408, 421, 429, 503) and request_id in ran
        ]
        return lab.finish(broken)


if __name__ == "__main__":
    sys.exit(main())

"""The last key of the only tenant is taken away; strangers' requests then run."""

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from lab import CONFIG_APPLY_S, Lab, Replica, route  # noqa: E402

ROUTES = [route("book", "unsafe", "desk"), route("look", "safe", "desk")]
SERVICES = [{"name": "desk", "health_path": "/health", "max_connections": 96}]
KEY = "k-held-9f31c2"
STRANGER = "k-never-held-77"


def main():
    """Run the case and return the exit status."""
    with Lab(HERE) as lab:
        tenants = [{"name": "range", "api_keys": [KEY], "priority": 1}]
        lab.put_config(3, ROUTES, SERVICES, tenants=tenants)
        replicas = [Replica(lab, f"i-{z}", "desk", z) for z in ("za", "zb", "zc")]
        lab.start_hosts()
        lab.wait_ready()
        clients = [lab.client(name) for name in lab.hosts]
        for client in clients:
            _, status, _ = client.request("POST", "/book/1", key=KEY, body=b"lane 4")
            if status != 200:
                lab.record.write("the deployment does not serve")
                return 2
        if lab.trouble:
            tenants = [{"name": "range", "api_keys": [], "priority": 1}]
        lab.put_config(5, ROUTES, SERVICES, tenants=tenants)
        time.sleep(CONFIG_APPLY_S + 4.0)
        sent = {}
        for _ in range(5):
            for client in clients:
                for method, path in (("POST", "/book/2"), ("GET", "/look/2")):
                    body = b"lane 5" if method == "POST" else b""
                    sent_id, status, _ = client.request(
                        method, path, key=STRANGER, body=body
                    )
                    sent[sent_id] = (client.host, method, path, status)
        broken = []
        for replica in replicas:
            for _, request_id, _, _ in replica.runs:
                if request_id in sent:
                    host, method, path, status = sent[request_id]
                    broken.append(
                        f"ROUTE {method} {path} through {host} ran at {replica.name},"
                        f" answered {status}; no configuration held its key"
                    )
        return lab.finish(broken)


if __name__ == "__main__":
    sys.exit(main())

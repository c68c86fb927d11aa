"""Two tenants whose names are not Latin reach the replicas under one name."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common3"))

from deployment import (
    TENANT,
    ZONES,
    Record,
    Replica,
    Request,
    Site,
    config,
    encode_answer,
    now_s,
    route,
    run_case,
)

NEW_TENANTS = {
    "k51c7e09ab": "\u0645\u0633\u0642\u0637",
    "k77d20b8e4": "\u0635\u0644\u0627\u0644",
}
"""Names of two members of the platform by key."""
APPLY_S = 4.0
REQUESTS = 5


async def play(record: Record, has_trouble: bool) -> int:
    """Play the case."""
    site = Site(record, host_zones=(ZONES[0], *ZONES))

    async def answer(replica: Replica, request: Request, writer: asyncio.StreamWriter):
        await asyncio.sleep(0.045)
        body = f"{replica.id} {request.id}".encode()
        writer.write(encode_answer(200, replica.sealed(request), body))
        return True

    site.replicas = [
        Replica(
            site,
            f"i-desk-{number}",
            service="lane-desk",
            zone=zone,
            slots=6,
            behave=answer,
        )
        for number, zone in enumerate(ZONES)
    ]
    sent: dict[str, str] = {}
    """Tenant that holds the key, by request id."""

    async def look(key: str, tenant: str) -> None:
        for number in range(REQUESTS):
            host = site.hosts[number % len(site.hosts)]
            result = await site.send(
                *(host, "GET", "/lookup/2f", {"Api-Key": key}),
                label="look",
                patience_s=2.5,
            )
            sent[result.request_id] = tenant
            record.line(f"{result.request_id} has the key of {ascii(tenant)}")

    try:
        document = config(1, [route("lookup", "safe", "lane-desk")])
        await site.start(document)
        tenants = {document["tenants"][0]["api_keys"][0]: TENANT}
        if has_trouble:
            document = {**document, "version": 2}
            document["tenants"] = [
                *document["tenants"],
                *({"name": n, "api_keys": [k]} for k, n in NEW_TENANTS.items()),
            ]
            site.store.put("keyed.op", "config", document)
            tenants |= NEW_TENANTS
            record.say(f"{now_s():.1f} s: the configuration gets two more tenants")
            await asyncio.sleep(APPLY_S)
        for key, tenant in tenants.items():
            await look(key, tenant)
        seen: dict[str, set[str]] = {}
        """Tenants whose requests ran, by the header that the replicas got."""
        for _, _, request in site.runs:
            header = request.headers.get("tenant", "")
            seen.setdefault(header, set()).add(sent[request.id])
        for header, names in seen.items():
            record.say(
                f"header Tenant {header!a}: requests with the keys of"
                f" {', '.join(map(ascii, sorted(names)))}"
            )
        if not seen:
            return 2
        return int(any(len(names) > 1 for names in seen.values()))
    finally:
        await site.close()


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent)

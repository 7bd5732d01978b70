"""A fleet of relays as deploy/example.json has it, and the cursors of outcome feeds."""
import base64
import struct
import time

from stand import CannotRun, Relay, free_address, settings

MASK = (1 << 64) - 1
P1, P2, P3, P4, P5 = (0x9E3779B185EBCA87, 0xC2B2AE3D27D4EB4F, 0x165667B19E3779F9, 0x85EBCA77C2B2AE63,
                      0x27D4EB2F165667C5)


def rotated(value, bits):
    return ((value << bits) | (value >> (64 - bits))) & MASK


def mixed(acc, lane):
    return rotated((acc + lane * P2) & MASK, 31) * P1 & MASK


def xxh64(data):
    at = 0
    if len(data) >= 32:
        accs = [(P1 + P2) & MASK, P2, 0, -P1 & MASK]
        while at + 32 <= len(data):
            accs = [mixed(acc, lane) for acc, lane in zip(accs, struct.unpack_from("<4Q", data, at))]
            at += 32
        out = sum(rotated(acc, bits) for acc, bits in zip(accs, (1, 7, 12, 18))) & MASK
        for acc in accs:
            out = ((out ^ mixed(0, acc)) * P1 + P4) & MASK
    else:
        out = P5
    out = (out + len(data)) & MASK
    while at + 8 <= len(data):
        out = (rotated(out ^ mixed(0, struct.unpack_from("<Q", data, at)[0]), 27) * P1 + P4) & MASK
        at += 8
    if at + 4 <= len(data):
        out = (rotated(out ^ struct.unpack_from("<I", data, at)[0] * P1 & MASK, 23) * P2 + P3) & MASK
        at += 4
    for byte in data[at:]:
        out = rotated(out ^ byte * P5 & MASK, 11) * P1 & MASK
    out = (out ^ out >> 33) * P2 & MASK
    out = (out ^ out >> 29) * P3 & MASK
    return out ^ out >> 32


def sealed(cbor):
    """A cursor's text, as feeds/cursor.h describes it."""
    return base64.urlsafe_b64encode(xxh64(cbor).to_bytes(8, "big") + cbor).rstrip(b"=").decode()


def opened(text):
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))[8:]


def fleet_of(record, work, started, discovery, members, count=3, realms=None, **more):
    """Relays n1 to nN, all voters, with the sections fleet and feeds of deploy/example.json."""
    peers = [{"name": f"n{i}", "address": free_address(), "voter": i <= 3} for i in range(1, count + 1)]
    out = []
    for peer in peers:
        how = settings()
        how["siblings"] = count
        how["bounds"]["peers"] = True
        how["realms"] = realms or [{"name": "acme", "quota_per_s": 100, "feeds": [{"name": "billing"}]}]
        fleet = {"cluster": "example", "bind": peer["address"], "period_ms": 500, "term_ms": 3000,
                 "isolated": "refuse", "count": "view", "peers": peers}
        feeds = {"age_s": 3600, "disk_share": 0.2, "batch": 500, "catch_up_per_s": 2000}
        relay = Relay(record, work, peer["name"], discovery, members, settings=how, fleet=fleet, feeds=feeds,
                      **more)
        started.append(relay)
        out.append(relay)
    for relay in out:
        relay.start(wait=False)
    for relay in out:
        relay.ready()
        serves(relay)
    return out


def serves(relay, within=20):
    for _ in range(within * 20):
        try:
            if relay.ask("STATUS").startswith("OK"):
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise CannotRun(f"{relay.name} does not serve")

"""Steps about the fault switches of the stand-in proxy."""

import http.client
import json
import socket
import threading
import time

import zmq
from behave import given, then

from poplarlane.bench.processes import Launcher
from poplarlane.bench.standin_client import call

TARGET_PORT = 21000
PROXY_PORT = 21001
ADMIN_PORT = 21002
SHORT_TIMEOUT_S = 0.5
REQUEST = b"GET /x HTTP/1.1\r\nhost: a\r\nx-request-id: raw\r\n\r\n"


def start_proxy(context, mode, upstream_port, seed=1):
    context.host = context.launcher.new_host()
    route = {
        "name": "route-1",
        "mode": mode,
        "listen_address": context.host,
        "listen_port": PROXY_PORT,
        "upstream_address": context.upstream,
        "upstream_port": upstream_port,
    }
    settings = {
        "name": "proxy-1",
        "admin_address": context.host,
        "admin_port": ADMIN_PORT,
        "seed": seed,
        "routes": [route],
    }
    context.launcher.start("poplarlane-standin-proxy", settings)


def set_fault(context, fault):
    answer = call(context.host, ADMIN_PORT, "POST", "/routes/route-1", {"clear": True, **fault})
    assert answer.status == 200, answer.body


def through_proxy(context, request_id, timeout_s=5.0):
    headers = {"x-request-id": request_id}
    return call(context.host, PROXY_PORT, "GET", "/x", None, headers, timeout_s)


def executions(context):
    return call(context.upstream, TARGET_PORT, "GET", "/_ledger").json()["executions"]


def raw_connection(context, timeout_s=5.0):
    return socket.create_connection((context.host, PROXY_PORT), timeout=timeout_s)


def read_to_end(connection):
    received = b""
    while data := connection.recv(65_536):
        received += data
    return received


@given("a stand-in target behind a stand-in proxy")
def step_target_and_proxy(context):
    context.launcher = context.resources.enter_context(Launcher())
    context.upstream = context.launcher.new_host()
    settings = {
        "name": "target-1",
        "listen_address": context.upstream,
        "listen_port": TARGET_PORT,
        "service_ms": 1.0,
        "service_distribution": "fixed",
    }
    context.launcher.start("poplarlane-standin-target", settings)
    start_proxy(context, "tcp", TARGET_PORT)


@then("a request through the proxy is answered")
def step_answered(context):
    answer = through_proxy(context, "plain")
    assert answer.status == 200 and answer.headers["x-request-id"] == "plain"


@then("with proxy fault {fault} a request takes at least {least:d} ms")
def step_delay(context, fault, least):
    set_fault(context, json.loads(fault))
    started = time.monotonic()
    assert through_proxy(context, "delayed").status == 200
    assert time.monotonic() - started >= least / 1000


@then("with proxy fault {fault} no request reaches the target and it times out")
def step_drop_up(context, fault):
    set_fault(context, json.loads(fault))
    try:
        through_proxy(context, "dropped-up", SHORT_TIMEOUT_S)
        raise AssertionError("the request was answered")
    except TimeoutError:
        assert "dropped-up" not in executions(context)


@then("with proxy fault {fault} the request reaches the target and times out")
def step_drop_down(context, fault):
    set_fault(context, json.loads(fault))
    try:
        through_proxy(context, "dropped-down", SHORT_TIMEOUT_S)
        raise AssertionError("the request was answered")
    except TimeoutError:
        assert "dropped-down" in executions(context)


@then("with proxy fault {fault} the connection is reset")
def step_reset(context, fault):
    set_fault(context, json.loads(fault))
    try:
        through_proxy(context, "reset")
        raise AssertionError("the request was answered")
    except ConnectionResetError:
        assert "reset" in executions(context)


@then("with proxy fault {fault} the answer has {count:d} bytes")
def step_truncate(context, fault, count):
    set_fault(context, json.loads(fault))
    with raw_connection(context) as connection:
        connection.sendall(REQUEST)
        received = read_to_end(connection)
    assert len(received) == count, received


@then("with proxy fault {fault} the answer is whole and the stream then ends")
def step_half_close(context, fault):
    set_fault(context, json.loads(fault))
    with raw_connection(context) as connection:
        connection.sendall(REQUEST)
        received = read_to_end(connection)
        connection.sendall(REQUEST)
    head, _, body = received.partition(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    assert len(body) == length, (length, len(body))


@then("a partition refuses new connections and freezes an open one until it heals")
def step_partition(context):
    set_fault(context, {})
    connection = http.client.HTTPConnection(context.host, PROXY_PORT, timeout=SHORT_TIMEOUT_S)
    connection.request("GET", "/x", headers={"x-request-id": "before"})
    assert connection.getresponse().read()
    connection.sock.settimeout(SHORT_TIMEOUT_S)
    set_fault(context, {"partition": True})
    connection.sock.sendall(REQUEST)
    try:
        connection.sock.recv(1)
        raise AssertionError("bytes passed a partition")
    except TimeoutError:
        pass
    try:
        raw_connection(context).close()
        raise AssertionError("a new connection passed a partition")
    except ConnectionRefusedError:
        pass
    set_fault(context, {})
    connection.sock.settimeout(5.0)
    assert connection.sock.recv(4) == b"HTTP"
    connection.close()


def echo_messages(router, stop):
    while not stop.is_set():
        if router.poll(50):
            router.send_multipart(router.recv_multipart())
    router.close(0)


@given("a pyzmq echo behind a stand-in relay with seed {seed:d}")
def step_relay(context, seed):
    context.launcher = context.resources.enter_context(Launcher())
    context.upstream = context.launcher.new_host()
    context.zmq = zmq.Context()
    router = context.zmq.socket(zmq.ROUTER)
    router.bind(f"tcp://{context.upstream}:{TARGET_PORT}")
    stop = threading.Event()
    thread = threading.Thread(target=echo_messages, args=(router, stop))
    thread.start()
    context.resources.callback(context.zmq.destroy, 0)
    context.resources.callback(thread.join)
    context.resources.callback(stop.set)
    start_proxy(context, "zmq", TARGET_PORT, seed)


def client(context, name):
    dealer = context.zmq.socket(zmq.DEALER)
    dealer.setsockopt(zmq.IDENTITY, name.encode())
    dealer.connect(f"tcp://{context.host}:{PROXY_PORT}")
    return dealer


def echoed(dealer, name, count):
    """Count the client's own messages that come back; the end of the wait ends the count."""
    for number in range(count):
        dealer.send(f"{name}-{number}".encode())
    received = []
    while len(received) < count and dealer.poll(1_000):
        received.append(dealer.recv().decode())
    assert all(text.startswith(name + "-") for text in received), received
    return len(received)


@then("without loss two clients get all {count:d} of their own messages back")
def step_no_loss(context, count):
    clients = {name: client(context, name) for name in ("agent-a", "agent-b")}
    for name, dealer in clients.items():
        assert echoed(dealer, name, count) == count, name
    context.dealer = clients["agent-a"]
    clients["agent-b"].close(0)


@then("with relay fault {fault} between {least:d} and {most:d} of {count:d} messages come back")
def step_loss(context, fault, least, most, count):
    set_fault(context, json.loads(fault))
    received = echoed(context.dealer, "agent-a", count)
    assert least <= received <= most, received


@then("with relay fault {fault} nothing comes back")
def step_all_lost(context, fault):
    set_fault(context, json.loads(fault))
    assert echoed(context.dealer, "agent-a", 20) == 0
    context.dealer.close(0)

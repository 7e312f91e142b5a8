"""States of connections, and what callers and targets do in a planned stop."""

import asyncio

import msgspec

from tests.test_gateway import stop_scenes

# Receive buffer of callers that read slowly or late.
RECEIVE_BYTES = 1 << 14
# Answers that the kernel takes in part, and as a whole.
LONG_ANSWER_BYTES = 6_000_000
SHORT_ANSWER_BYTES = 150_000
# How long a slow caller takes to read an answer, and when a late one begins
# to, after the signal.
SLOW_READ_S = 2.1
SECOND_SEND_S = 1.95
LATE_READ_S = 2.0
# When the rest of a request is sent in time, and too late to be served.
LATE_S = 0.9
TOO_LATE_S = 2.4
# When callers act otherwise.
ACT_S = 0.05
SHORT_WORK_S = 0.01
# A body of this length needs a reservation of memory.
LONG_BODY = b'x' * 100_000

STATES = {}
CALLERS = {}
TARGETS = {}


def state(function):
    STATES[function.__name__] = function
    return function


def caller(function):
    CALLERS[function.__name__] = function
    return function


def target(function):
    TARGETS[function.__name__] = function
    return function


# States. Each function leaves the connection of the caller in its state.


async def send_request(scene, receive_bytes=0, **fields):
    """Sends the request that the state is about, on a new connection."""
    scene.conn = await scene.connect(receive_bytes)
    scene.request = scene.conn.build(scene.route, **fields)
    await scene.conn.send(scene.request.data)


async def send_part(scene, size, **fields):
    scene.conn = await scene.connect()
    scene.request = scene.conn.build(scene.route, **fields)
    await scene.conn.send(scene.request.data[:size])
    scene.rest = scene.request.data[size:]
    await asyncio.sleep(0.1)


async def run_request(scene):
    await scene.until(lambda: scene.ran(scene.request))


async def spare_other_target(scene):
    """Waits until a target has the request; the other one is sound."""
    await scene.until(lambda: any(each.arrivals for each in scene.targets))
    for each in scene.targets:
        if not each.arrivals:
            each.fault = ''
            each.work_s = scene.other_work_s


@state
async def connected(scene):
    """Nothing has been sent."""
    scene.conn = await scene.connect()


@state
async def idle(scene):
    """An answer has been read, nothing is outstanding."""
    work_s, fault = scene.targets[0].work_s, scene.targets[0].fault
    scene.set_targets(work_s=SHORT_WORK_S, fault='')
    await send_request(scene)
    scene.conn.start_reading()
    await scene.until(lambda: scene.request.complete)
    scene.finished.append(scene.request)
    scene.request = None
    scene.set_targets(work_s=work_s, fault=fault)


@state
async def head_partly_read(scene):
    await send_part(scene, 30)


@state
async def body_partly_read(scene):
    await send_part(scene, -500, body=b'x' * 1000)


@state
async def behind_another(scene):
    """The request is answered before an earlier one of its connection."""
    scene.set_targets(work_s=2 * stop_scenes.WORK_S)
    await send_request(scene)
    await run_request(scene)
    scene.set_targets(work_s=stop_scenes.WORK_S / 2)
    scene.request = scene.conn.build(scene.route)
    await scene.conn.send(scene.request.data)
    await run_request(scene)


@state
async def queued_at_target(scene):
    scene.set_targets(slots=1)
    for _ in scene.targets:
        await send_request(scene)
        scene.conn.start_reading()
        await run_request(scene)
    await send_request(scene)
    await scene.until(lambda: any(t._waiting for t in scene.targets))


@state
async def waits_for_memory(scene):
    """Another body holds the memory; its rest arrives in the stop."""
    account = scene.entry.account
    account.limits = msgspec.structs.replace(
        account.limits, body_bytes=1, short_body_bytes=0
    )
    account.update(len(LONG_BODY))
    # A body waits for 0.8 s at most. With the usual work it waited for 0.75 s,
    # and was refused if the process was late.
    scene.set_targets(work_s=stop_scenes.WORK_S / 2)
    await send_part(scene, -500, body=LONG_BODY)
    holder, rest = scene.conn, scene.rest
    holder.start_reading()
    await send_part(scene, 1000, body=LONG_BODY)
    await scene.conn.send(scene.rest)
    assert scene.entry.bodies._waiting
    scene.later(ACT_S, holder.send, rest)


@state
async def at_work(scene):
    await send_request(scene)
    await run_request(scene)


@state
async def being_rejected(scene):
    """The first target is about to reject the request."""
    scene.set_targets(fault='shed', refuse_after_s=0.3)
    await send_request(scene)
    await spare_other_target(scene)


@state
async def about_to_fail(scene):
    """The first target is about to reset the connection of the request."""
    scene.set_targets(fault='lose')
    await send_request(scene)
    await spare_other_target(scene)


@state
async def relayed_out(scene):
    """Another host serves the request for the stopping one."""
    await send_request(scene)
    await run_request(scene)


@state
async def relayed_in(scene):
    """The stopping host serves the request for another one."""
    scene.entry = scene.hosts[1]
    await send_request(scene, lines=['Connection: close'])
    await run_request(scene)


async def get_answer(scene, answer_bytes, **fields):
    """Sends a request whose answer is not read yet."""
    work_s = scene.targets[0].work_s
    scene.answer_bytes = answer_bytes
    scene.set_targets(answer_bytes=answer_bytes, work_s=SHORT_WORK_S)
    await send_request(scene, RECEIVE_BYTES, **fields)
    await run_request(scene)
    await asyncio.sleep(0.2)
    scene.set_targets(answer_bytes=0, work_s=work_s)


@state
async def partly_written(scene):
    """An answer is longer than what the kernel has taken."""
    await get_answer(scene, LONG_ANSWER_BYTES)


@state
async def written_unread(scene):
    """The kernel has taken all of an answer that is not read yet."""
    await get_answer(scene, SHORT_ANSWER_BYTES)


@state
async def lingering(scene):
    """The host has closed after an answer that is not read yet."""
    await get_answer(scene, SHORT_ANSWER_BYTES, lines=['Connection: close'])


# What callers do once the stop has begun.


@caller
async def reads(scene):
    scene.conn.start_reading()


@caller
async def reads_slowly(scene):
    scene.conn.start_reading(scene.answer_bytes / SLOW_READ_S)


@caller
async def reads_late(scene):
    await asyncio.sleep(LATE_READ_S)
    scene.conn.start_reading()


async def send_another(scene):
    await scene.conn.send(scene.conn.build(scene.route).data)


@caller
async def sends_ahead(scene):
    """Sends another request at once, and reads."""
    await asyncio.sleep(ACT_S)
    await send_another(scene)
    await reads(scene)


async def send_two_ahead(scene):
    await asyncio.sleep(ACT_S)
    await send_another(scene)
    await asyncio.sleep(SECOND_SEND_S - ACT_S)
    await send_another(scene)


@caller
async def sends_two_ahead_reads_slowly(scene):
    await reads_slowly(scene)
    await send_two_ahead(scene)


@caller
async def sends_two_ahead_reads_late(scene):
    await send_two_ahead(scene)
    await reads(scene)


@caller
async def sends_when_closed(scene):
    """Sends another request after the host has stopped reading."""
    await asyncio.sleep(LATE_S)
    await send_another(scene)
    await reads(scene)


@caller
async def sends_rest(scene):
    await asyncio.sleep(ACT_S)
    await scene.conn.send(scene.rest)
    await reads(scene)


@caller
async def sends_rest_late(scene):
    await reads(scene)
    await asyncio.sleep(LATE_S)
    await scene.conn.send(scene.rest)


@caller
async def sends_rest_too_late(scene):
    await reads(scene)
    await asyncio.sleep(TOO_LATE_S)
    await scene.conn.send(scene.rest)


@caller
async def half_closes(scene):
    await asyncio.sleep(ACT_S)
    scene.conn.half_close()
    await reads(scene)


@caller
async def closes(scene):
    await asyncio.sleep(ACT_S)
    scene.conn.close()


@caller
async def resets(scene):
    await asyncio.sleep(ACT_S)
    scene.conn.close(reset=True)


@caller
async def stays(scene):
    """Neither reads nor closes."""


@caller
async def connects(scene):
    """Sends a request on a new connection."""
    await reads(scene)
    await asyncio.sleep(ACT_S)
    conn = await scene.connect()
    await conn.send(conn.build(scene.route).data)
    conn.start_reading()


@caller
async def connects_late(scene):
    """Sends a request on a new connection after the close of the listener."""
    await reads(scene)
    await asyncio.sleep(LATE_S)
    conn = await scene.connect()
    await conn.send(conn.build(scene.route).data)
    conn.start_reading()


# What targets do. Each function is called before the requests are sent.


@target
def answer(scene):
    pass


@target
def answer_in_pieces(scene):
    scene.set_targets(pieces=10, work_s=SHORT_WORK_S)


@target
def answer_after_the_end(scene):
    scene.set_targets(work_s=stop_scenes.LONG_WORK_S)
    scene.expect_work(stop_scenes.LONG_WORK_S)


@target
def take_long_unexpectedly(scene):
    scene.set_targets(work_s=stop_scenes.LONG_WORK_S)


@target
def one_takes_long(scene):
    scene.other_work_s = stop_scenes.LONG_WORK_S
    scene.expect_work(stop_scenes.LONG_WORK_S)


@target
def break_off(scene):
    scene.set_targets(fault='lose')


@target
def truncate(scene):
    scene.set_targets(fault='truncate')


@target
def leave(scene):
    """Targets say in answers and to probes that they leave."""
    scene.at_stop = lambda: scene.set_targets(
        leaving=True, states_in_health=True
    )


@target
def one_leaves(scene):
    def say():
        scene.targets[0].leaving = scene.targets[0].states_in_health = True

    scene.at_stop = say


@target
def turn_away(scene):
    scene.at_stop = lambda: scene.set_targets(fault='shed')


@target
def one_turns_away(scene):
    def begin():
        scene.targets[0].fault = 'shed'

    scene.at_stop = begin


@target
def end(scene):
    """The targets that work for a request end."""

    async def stop():
        for each in scene.targets:
            if each._running:
                await each.stop()

    scene.at_stop = lambda: scene.later(0.2, stop)


@target
def be_silent(scene):
    scene.set_targets(fault='hang')

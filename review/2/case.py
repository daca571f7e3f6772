"""A host resets a connection under a request that it has read and accepted; the placer tries the same host again."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import ANSWER, RELEASE, Bus, CannotRun, Host, Owner, Placer, encode, play  # noqa: E402

TASKS = 4


class ResettingHost(Host):
    """The first set-up of each id is read and accepted; while its answer is sent the connection is reset."""

    trouble, resets = True, 0

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.tries, self.breaches = {}, []

    def on_setup(self, peer, message):
        earlier = self.tries.setdefault(message.task, [])
        # `held` lists what has come whole and has neither an end written nor been given up, by a release or by the close of
        # its connection. What stands (answered) is left out here: only set-ups that are still open count.
        out = [held for held in earlier if held in self.held and not held.stands]
        super().on_setup(peer, message)
        if out:
            self.breaches.append(
                f'try {len(earlier) + 1} of id={message.task:016x} came to {self.name} while the try of '
                f'{out[0].arrived:.3f} was still out: no end was written and it was not given up')
            self.note('!! ' + self.breaches[-1])
        held = self.setups[-1]
        earlier.append(held)
        if self.trouble and len(earlier) == 1:
            held.stands = True
            self.resets += 1
            answer = encode(ANSWER, held.id, _145=held.text)
            peer.transport.write(answer[:len(answer) // 2])
            self.note(f'{held.name} stands; its answer breaks off: {peer.label} is reset')
            self.peers.remove(peer)
            peer.reset()


async def case(record, trouble, temporary, started):
    bus = await Bus(record).listen()
    small = [await Host(record, name, 'std', block=3).listen() for name in ('h1', 'h2')]
    big = ResettingHost(record, 'h3', 'big', block=4, start_s=0.3)
    big.trouble = trouble
    await big.listen()
    bus.tell([host.entry() for host in small + [big]], whole=True)
    # The class `free` is bound to machines of the second kind, of which this small fleet has one. The host says yes when it
    # has accepted; asks of other placers wait before ours, so it takes 0.3 s (admit_queue x admit_ms allows 1.1 s).
    placer = Placer(record, bus, temporary, family_info__kind_by_class=[1, -1, -1],
                    family_info__class_spread=['off', 'off', 'off'], limits__may_duplicate=False,
                    family_info__yes_at='accepted', family_info__says_pressure=False)
    started.append(placer)
    await placer.start()
    owner = await Owner(record, 'owner').connect(placer.address)
    for number in range(1, TASKS + 1):
        task = 0xa1b2c3d400000000 + number
        owner.set_up(task, 'free', f'{number:016x}')
        if not await owner.wait_for(lambda m: m.task == task and m.kind in (ANSWER, RELEASE), 6):
            raise CannotRun(f'id={task:016x} got no answer within 6 s')
        await asyncio.sleep(2)
    if trouble and big.resets != TASKS:
        raise CannotRun(f'{big.resets} of {TASKS} connections were reset')
    return big.breaches


play(HERE, case)

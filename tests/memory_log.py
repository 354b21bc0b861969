"""In-memory append-only log for tests of code that applies its records."""

from peridotrill.control_state import ControlState
from peridotrill.exceptions import AppendOutcomeUnknown, LogUnavailable
from peridotrill.records import decode_record, encode_record


class MemoryLog:
    def __init__(self) -> None:
        self.payloads: list[bytes] = []
        self.fault = ''

    def store(self, record) -> int:
        self.payloads.append(encode_record(record))
        return len(self.payloads)

    async def append(self, record) -> int:
        if self.fault == 'down':
            raise LogUnavailable('down')
        offset = self.store(record)
        if self.fault == 'lose_answer':
            raise AppendOutcomeUnknown('lost')
        return offset

    def read_into(self, state: ControlState, limit: int = 10**6) -> None:
        for payload in self.payloads[state.offset : state.offset + limit]:
            state.apply(state.offset + 1, decode_record(payload), 0)

"""Clients of a cluster: completions, streams and background requests."""

import threading
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import httpx

from tests.cluster import MODEL
from tests.observer import StreamResult, read_stream
from tests.processes import wait_for

PROMPT = 'Sum up the season. '


def auth_headers(key):
    return {'Authorization': f'Bearer {key}'}


def completion_request(prompt=PROMPT, max_tokens=16, stream=False):
    return {
        'model': MODEL,
        'prompt': prompt,
        'max_tokens': max_tokens,
        'stream': stream,
    }


class StreamCall:
    """A streamed completion that is read in a thread."""

    def __init__(self, url, key, prompt, max_tokens):
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.status = 0
        self.token_count = 0
        self.result = None
        self._url = url
        self._key = key
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    def wait_tokens(self, count):
        wait_for(
            lambda: self.token_count >= count or self.result,
            description=f'{count} tokens, status {self.status}',
        )
        assert self.result is None, self.result

    def wait_end(self, timeout_s=40.0):
        self._thread.join(timeout_s)
        assert self.result is not None, 'the stream did not end'
        return self.result

    def _read(self):
        call = completion_request(self.prompt, self.max_tokens, stream=True)
        try:
            with httpx.stream(
                'POST',
                f'{self._url}/v1/completions',
                json=call,
                headers=auth_headers(self._key),
                timeout=40.0,
            ) as response:
                self.status = response.status_code
                self.result = read_stream(response, self._update_token_count)
        except httpx.TransportError:
            self.result = StreamResult('', ended=False, code='', broken=True)

    def _update_token_count(self, token_count):
        self.token_count = token_count


@contextmanager
def run_in_background(call, worker_count=4):
    """Call ``call(number)`` repeatedly in threads; yields the results.

    The list of results grows while the block runs; every number is unique.
    """
    results, stop = [], threading.Event()

    def run_worker(worker):
        number = worker
        while not stop.is_set():
            results.append(call(number))
            number += worker_count

    with ThreadPoolExecutor(worker_count) as pool:
        futures = [
            pool.submit(run_worker, worker) for worker in range(worker_count)
        ]
        try:
            yield results
        finally:
            stop.set()
    for future in futures:
        future.result()

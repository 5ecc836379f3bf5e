"""A whole request and its whole answer, in blocks where they are large."""

from __future__ import annotations

import random

import aiocoap
from aiocoap import optiontypes
import trio

from persimmonhinge.coap import codec
from persimmonhinge.coap import transmission as transmissions
from persimmonhinge.upstreams import endpoint as endpoints
from persimmonhinge.upstreams import exchange as exchanges
from persimmonhinge.upstreams import requests
from persimmonhinge.upstreams import shedding
from persimmonhinge.upstreams import transfer_result as results

# Block size is 2 ** (exponent + 4) octets, RFC 7959 section 2.2.
_LARGEST_EXPONENT = 6
_MOST_ANSWER_OCTETS = 4_194_304
_MOST_DOWNLOADS = 3
_INCOMPLETE = aiocoap.REQUEST_ENTITY_INCOMPLETE

BlockOption = optiontypes.BlockOption.BlockwiseTuple


class Transfer:
    """Runs one request at an upstream.

    A body that fits no datagram goes up in blocks, tied together by a
    Request-Tag (RFC 9175), because several uploads to one resource may be
    under way from the same socket. A large answer comes down in blocks of
    one ETag.

    Attributes:
        may_run: True once the body was sent to its end; an upstream runs a
            body in blocks only when it is whole.
    """

    def __init__(
        self,
        endpoint: endpoints.Endpoint,
        request: codec.Message,
        deadline: float,
        silence_s: float,
        timers: transmissions.Transmission,
        randomness: random.Random,
    ) -> None:
        """Makes a transfer.

        Args:
            endpoint: Where it takes place.
            request: Code, options and whole body.
            deadline: Time of the caller's deadline.
            silence_s: Limit without a sign of the upstream, seconds.
            timers: Timers of retransmission.
            randomness: Draws the waits.
        """
        self._endpoint = endpoint
        self._request = request
        self._deadline = deadline
        self._limits = exchanges.WaitLimits(silence_s, deadline)
        self._timers = timers
        self._randomness = randomness
        self._exchange: exchanges.Exchange | None = None
        self._abandoned = False
        self.may_run = False
        self._in_blocks = False

    def abandon(self) -> None:
        """Sends nothing more; the present exchange goes on to its end."""
        self._abandoned = True
        if self._exchange is not None:
            self._exchange.abandon()

    async def run(self) -> results.TransferResult:
        """Runs the transfer to its end."""
        result = await self._upload()
        if result.end is not exchanges.ExchangeEnd.ANSWERED:
            return self._end_without_answer(result.end)
        answer = result.answer
        assert answer is not None
        if shedding.is_shed(answer):
            return results.TransferResult(
                results.TransferEnd.SHED, answer, "shed by the upstream"
            )
        if self._in_blocks and answer.code == _INCOMPLETE:
            # About blocks of this host, of which the caller knows nothing.
            return results.TransferResult(
                results.TransferEnd.NOT_RUN, reason="upstream lost a block"
            )
        if answer.code == aiocoap.CONTINUE:
            return results.TransferResult(
                results.TransferEnd.UNKNOWN,
                reason="asked for more than there is",
            )
        return await self._download(answer)

    async def fetch_rest(self, first: codec.Message) -> codec.Message | None:
        """Returns a whole answer of which the first block is there.

        Returns:
            None if it can't be had.
        """
        result = await self._download(first)
        return result.answer

    async def _upload(self) -> exchanges.ExchangeResult:
        body = self._request.payload
        if len(body) <= _block_octets(_LARGEST_EXPONENT):
            self.may_run = True
            return await self._exchange_once(
                requests.copy_message(self._request)
            )
        self._in_blocks = True
        tag = self._endpoint.make_token()
        exponent = _LARGEST_EXPONENT
        offset = 0
        while True:
            block = self._make_block(tag, offset, exponent)
            self.may_run = not block.opt.block1.more
            result = await self._exchange_once(block)
            answer = result.answer
            if answer is None or answer.code != aiocoap.CONTINUE:
                return result
            if self.may_run or self._abandoned:
                return result
            offset += len(block.payload)
            if answer.opt.block1 is not None:
                exponent = min(exponent, answer.opt.block1.size_exponent)

    def _make_block(
        self, tag: bytes, offset: int, exponent: int
    ) -> codec.Message:
        body = self._request.payload
        octets = _block_octets(exponent)
        block = requests.copy_message(
            self._request, body[offset : offset + octets]
        )
        more = offset + octets < len(body)
        block.opt.block1 = BlockOption(offset // octets, more, exponent)
        block.opt.request_tag = [tag]
        if offset == 0:
            block.opt.size1 = len(body)
        return block

    async def _download(self, first: codec.Message) -> results.TransferResult:
        for _ in range(_MOST_DOWNLOADS):
            block2 = first.opt.block2
            if block2 is None or not block2.more:
                return self._end_whole(first, first.payload)
            body, problem = await self._fetch_blocks(first)
            if body is not None:
                return self._end_whole(first, body)
            if problem != "changed" or self._abandoned:
                break
            # The resource changed between two blocks. Only a request that
            # is safe to repeat is begun anew.
            if self._request.code != aiocoap.GET:
                break
            again = await self._exchange_once(
                requests.copy_message(self._request)
            )
            if again.answer is None:
                break
            first = again.answer
        return results.TransferResult(
            results.TransferEnd.UNKNOWN,
            reason=f"answer is incomplete: {problem}",
        )

    async def _fetch_blocks(
        self, first: codec.Message
    ) -> tuple[bytes | None, str]:
        body = b""
        answer = first
        while _continues(first, answer, len(body)):
            body += answer.payload
            if not answer.opt.block2.more:
                return body, ""
            if len(body) > _MOST_ANSWER_OCTETS:
                return None, "too large"
            exponent = answer.opt.block2.size_exponent
            number = len(body) // _block_octets(exponent)
            result = await self._exchange_once(
                self._make_block_request(number, exponent)
            )
            if result.answer is None:
                return None, "no answer"
            answer = result.answer
        return None, "changed"

    def _make_block_request(self, number: int, exponent: int) -> codec.Message:
        request = requests.copy_message(self._request, b"")
        request.opt.block2 = BlockOption(number, False, exponent)
        return request

    async def _exchange_once(
        self, request: codec.Message
    ) -> exchanges.ExchangeResult:
        if self._abandoned:
            return exchanges.ExchangeResult(exchanges.ExchangeEnd.UNSENT)
        left_s = max(0.0, self._deadline - trio.current_time())
        codec.write_deadline_ms(request, int(left_s * 1000))
        self._exchange = exchanges.Exchange(
            self._endpoint, request, self._timers, self._randomness
        )
        return await self._exchange.run(self._limits)

    def _end_without_answer(
        self, end: exchanges.ExchangeEnd
    ) -> results.TransferResult:
        if end is exchanges.ExchangeEnd.UNSENT:
            return results.TransferResult(
                results.TransferEnd.NOT_RUN, reason="not sent"
            )
        if end is exchanges.ExchangeEnd.REFUSED:
            return results.TransferResult(
                results.TransferEnd.REFUSED,
                reason="refused by the upstream's host",
            )
        if not self.may_run:
            return results.TransferResult(
                results.TransferEnd.NOT_RUN, reason="upload was cut off"
            )
        return results.TransferResult(
            results.TransferEnd.UNKNOWN, reason="no sign of the upstream"
        )

    def _end_whole(
        self, first: codec.Message, body: bytes
    ) -> results.TransferResult:
        answer = requests.copy_message(first, body)
        del answer.opt.block1
        del answer.opt.block2
        del answer.opt.observe
        return results.TransferResult(results.TransferEnd.ANSWERED, answer)


def _continues(
    first: codec.Message, answer: codec.Message, offset: int
) -> bool:
    """Tells whether an answer is the block at an offset of the first one's.

    Guards against an answer put together from two states of a resource, and
    against a block that brings nothing and is asked for again without end.
    """
    block2 = answer.opt.block2
    if block2 is None or block2.start != offset:
        return False
    if answer.code != first.code or answer.opt.etag != first.opt.etag:
        return False
    return not block2.more or len(answer.payload) == _block_octets(
        block2.size_exponent
    )


def _block_octets(exponent: int) -> int:
    return 1 << (min(exponent, _LARGEST_EXPONENT) + 4)

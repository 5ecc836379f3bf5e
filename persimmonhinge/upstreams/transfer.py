"""One request with its whole answer, block-wise if either is large."""

from __future__ import annotations

import random

import aiocoap
from aiocoap import optiontypes
import trio

from persimmonhinge.coap import codec
from persimmonhinge.coap import transmission
from persimmonhinge.upstreams import endpoint as endpoint_module
from persimmonhinge.upstreams import exchange
from persimmonhinge.upstreams import requests
from persimmonhinge.upstreams import shedding
from persimmonhinge.upstreams import transfer_result

# Block size is 2 ** (exponent + 4) octets, RFC 7959 section 2.2.
_MAX_BLOCK_EXPONENT = 6
_MAX_ANSWER_OCTETS = 4_194_304
_MAX_DOWNLOADS = 3
_INCOMPLETE = aiocoap.REQUEST_ENTITY_INCOMPLETE

BlockOption = optiontypes.BlockOption.BlockwiseTuple


class Transfer:
    """Runs one request at an upstream.

    A body that does not fit into one datagram is sent in blocks. A
    Request-Tag (RFC 9175) identifies the blocks of one body, because several
    uploads to one resource may be in progress on the same socket. A large
    answer is received in blocks with the same ETag.

    Attributes:
        may_run: True once the last block of the body is about to be sent; an
            upstream runs a request only after it has the whole body.
    """

    def __init__(
        self,
        endpoint: endpoint_module.Endpoint,
        request: codec.Message,
        deadline: float,
        silence_s: float,
        timers: transmission.Transmission,
        randomness: random.Random,
    ) -> None:
        """Makes a transfer.

        Args:
            endpoint: Endpoint on which to send the request.
            request: Request with its code, options and whole body.
            deadline: Deadline of the caller.
            silence_s: Limit without any reply of the upstream, seconds.
            timers: Retransmission timers.
            randomness: Randomizes the initial retransmission timeouts.
        """
        self._endpoint = endpoint
        self._request = request
        self._deadline = deadline
        self._limits = exchange.WaitLimits(silence_s, deadline)
        self._timers = timers
        self._randomness = randomness
        self._exchange: exchange.Exchange | None = None
        self._abandoned = False
        self.may_run = False
        self._in_blocks = False

    def abandon(self) -> None:
        """Sends no more requests; the current exchange runs to its end."""
        self._abandoned = True
        if self._exchange is not None:
            self._exchange.abandon()

    async def run(self) -> transfer_result.TransferResult:
        """Sends the request and returns the result of the transfer."""
        result = await self._upload()
        if result.status is not exchange.ExchangeStatus.ANSWERED:
            return self._make_unanswered_result(result.status)
        answer = result.answer
        assert answer is not None
        if shedding.is_shed(answer):
            return transfer_result.TransferResult(
                transfer_result.TransferStatus.SHED,
                answer,
                "shed by the upstream",
            )
        if self._in_blocks and answer.code == _INCOMPLETE:
            # The caller did not send these blocks and cannot use the answer.
            return transfer_result.TransferResult(
                transfer_result.TransferStatus.NOT_RUN,
                reason="upstream lost a block",
            )
        if answer.code == aiocoap.CONTINUE:
            return transfer_result.TransferResult(
                transfer_result.TransferStatus.UNKNOWN,
                reason="asked for more than there is",
            )
        return await self._download(answer)

    async def fetch_remaining_blocks(
        self, first: codec.Message
    ) -> codec.Message | None:
        """Fetches the remaining blocks of an answer.

        Args:
            first: Answer with the first block.

        Returns:
            The whole answer; None if a block could not be fetched.
        """
        result = await self._download(first)
        return result.answer

    async def _upload(self) -> exchange.ExchangeResult:
        body = self._request.payload
        if len(body) <= _block_octets(_MAX_BLOCK_EXPONENT):
            self.may_run = True
            return await self._exchange_once(
                requests.copy_message(self._request)
            )
        self._in_blocks = True
        tag = self._endpoint.make_token()
        exponent = _MAX_BLOCK_EXPONENT
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

    async def _download(
        self, first: codec.Message
    ) -> transfer_result.TransferResult:
        for _ in range(_MAX_DOWNLOADS):
            block2 = first.opt.block2
            if block2 is None or not block2.more:
                return self._make_answered_result(first, first.payload)
            body, problem = await self._fetch_blocks(first)
            if body is not None:
                return self._make_answered_result(first, body)
            if problem != "changed" or self._abandoned:
                break
            # The resource changed between two blocks. Only a request that
            # is safe to repeat is sent again.
            if self._request.code != aiocoap.GET:
                break
            repeated = await self._exchange_once(
                requests.copy_message(self._request)
            )
            if repeated.answer is None:
                break
            first = repeated.answer
        return transfer_result.TransferResult(
            transfer_result.TransferStatus.UNKNOWN,
            reason=f"answer is incomplete: {problem}",
        )

    async def _fetch_blocks(
        self, first: codec.Message
    ) -> tuple[bytes | None, str]:
        body = b""
        answer = first
        while _is_next_block(first, answer, len(body)):
            body += answer.payload
            if not answer.opt.block2.more:
                return body, ""
            if len(body) > _MAX_ANSWER_OCTETS:
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
    ) -> exchange.ExchangeResult:
        if self._abandoned:
            return exchange.ExchangeResult(exchange.ExchangeStatus.UNSENT)
        left_s = max(0.0, self._deadline - trio.current_time())
        codec.write_deadline_ms(request, int(left_s * 1000))
        self._exchange = exchange.Exchange(
            self._endpoint, request, self._timers, self._randomness
        )
        return await self._exchange.run(self._limits)

    def _make_unanswered_result(
        self, status: exchange.ExchangeStatus
    ) -> transfer_result.TransferResult:
        if status is exchange.ExchangeStatus.UNSENT:
            return transfer_result.TransferResult(
                transfer_result.TransferStatus.NOT_RUN, reason="not sent"
            )
        if status is exchange.ExchangeStatus.REFUSED:
            return transfer_result.TransferResult(
                transfer_result.TransferStatus.REFUSED,
                reason="refused by the upstream's host",
            )
        if not self.may_run:
            return transfer_result.TransferResult(
                transfer_result.TransferStatus.NOT_RUN,
                reason="upload was cut off",
            )
        return transfer_result.TransferResult(
            transfer_result.TransferStatus.UNKNOWN,
            reason="no sign of the upstream",
        )

    def _make_answered_result(
        self, first: codec.Message, body: bytes
    ) -> transfer_result.TransferResult:
        answer = requests.copy_message(first, body)
        del answer.opt.block1
        del answer.opt.block2
        del answer.opt.observe
        return transfer_result.TransferResult(
            transfer_result.TransferStatus.ANSWERED, answer
        )


def _is_next_block(
    first: codec.Message, answer: codec.Message, offset: int
) -> bool:
    """Returns whether an answer continues the body of the first answer.

    Prevents an answer from being assembled from two states of a resource, and
    an endless loop of requests if a block adds no octets.
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
    return 1 << (min(exponent, _MAX_BLOCK_EXPONENT) + 4)

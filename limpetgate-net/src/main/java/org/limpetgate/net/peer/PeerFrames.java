package org.limpetgate.net.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.proto.PeerFrame;
import org.limpetgate.proto.Refusal;

/**
 * Encodes and decodes frames. A frame is a big-endian length of four bytes, then the
 * protobuf message.
 */
final class PeerFrames {

	static final int PROTOCOL_VERSION = 1;

	private static final int LENGTH_BYTES = 4;

	private PeerFrames() {
	}

	static ByteBuf encode(ByteBufAllocator allocator, PeerFrame frame) {
		int size = frame.getSerializedSize();
		ByteBuf buffer = allocator.buffer(LENGTH_BYTES + size);
		buffer.writeInt(size);
		try (ByteBufOutputStream output = new ByteBufOutputStream(buffer)) {
			frame.writeTo(output);
		}
		catch (IOException ex) {
			buffer.release();
			throw new UncheckedIOException(ex);
		}
		return buffer;
	}

	/**
	 * Returns the frame that reports a failure to the peer.
	 * @param error the failure
	 * @return the frame without version, clock and correlation id
	 */
	static PeerFrame.Builder refusal(DispatchException error) {
		return PeerFrame.newBuilder()
			.setRefusal(Refusal.newBuilder()
				.setError(error.kind().name())
				.setMessage(error.getMessage())
				.setOutcome(error.outcome().text())
				.setRetryAfterNanos(error.retryAfterNanos()));
	}

	/**
	 * Converts a refusal to the failure that it reports.
	 * @param refusal the refusal
	 * @return the failure; of kind {@link ErrorKind#INTERNAL} with outcome
	 * {@link Outcome#UNKNOWN} if the refusal cannot be read
	 */
	static DispatchException toException(Refusal refusal) {
		try {
			ErrorKind kind = ErrorKind.valueOf(refusal.getError());
			Outcome outcome = Outcome.parse(refusal.getOutcome());
			String detail = withoutRemedy(refusal.getMessage(), kind);
			return (refusal.getRetryAfterNanos() > 0)
					? DispatchException.withRetryAfter(kind, outcome, detail, refusal.getRetryAfterNanos())
					: DispatchException.of(kind, outcome, detail);
		}
		catch (IllegalArgumentException ex) {
			return DispatchException.of(ErrorKind.INTERNAL, Outcome.UNKNOWN,
					"the peer refused with the unknown error '" + refusal.getError() + "': " + refusal.getMessage());
		}
	}

	private static String withoutRemedy(String message, ErrorKind kind) {
		String suffix = "; " + kind.remedy();
		return message.endsWith(suffix) ? message.substring(0, message.length() - suffix.length()) : message;
	}

	/**
	 * Decodes frames up to a size limit that is raised after the handshake, so that an
	 * unauthenticated peer cannot make the host buffer a large frame.
	 */
	static final class Decoder extends ByteToMessageDecoder {

		private int maxFrameBytes;

		private boolean discarding;

		Decoder(int maxFrameBytes) {
			this.maxFrameBytes = maxFrameBytes;
		}

		void raiseLimit(int bytes) {
			this.maxFrameBytes = bytes;
		}

		void discardInput() {
			this.discarding = true;
		}

		@Override
		protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws IOException {
			if (this.discarding) {
				in.skipBytes(in.readableBytes());
				return;
			}
			if (in.readableBytes() < LENGTH_BYTES) {
				return;
			}
			long length = in.getUnsignedInt(in.readerIndex());
			if (length > this.maxFrameBytes) {
				throw new TooLongFrameException(
						"the frame has " + length + " bytes, the limit is " + this.maxFrameBytes);
			}
			if (in.readableBytes() < LENGTH_BYTES + length) {
				return;
			}
			in.skipBytes(LENGTH_BYTES);
			out.add(parse(in.readSlice((int) length)));
		}

		private static PeerFrame parse(ByteBuf bytes) {
			try {
				return PeerFrame.parseFrom(bytes.nioBuffer());
			}
			catch (IOException ex) {
				throw new CorruptedFrameException("the frame is not a PeerFrame");
			}
		}

	}

}

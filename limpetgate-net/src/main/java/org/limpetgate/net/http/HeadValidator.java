package org.limpetgate.net.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import org.limpetgate.ErrorKind;

/**
 * Checks the bytes of a message head before Netty parses it.
 * <p>
 * Netty accepts some input that other HTTP implementations read differently, such as
 * folded header lines, bare line feeds and control characters. Such differences allow
 * request smuggling, so such a head is rejected before it is parsed.
 * <p>
 * Belongs to one connection; not thread-safe.
 */
final class HeadValidator {

	private static final int MAX_HEADERS = 256;

	private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

	private final boolean request;

	private final int maxHeadBytes;

	/**
	 * The bytes from the reader index that were scanned without finding the end of the
	 * head.
	 */
	private int scannedBytes;

	HeadValidator(boolean request, int maxHeadBytes) {
		this.request = request;
		this.maxHeadBytes = maxHeadBytes;
	}

	/**
	 * Validates the readable bytes, which begin with a head.
	 * @param buffer the bytes; leading empty lines are consumed
	 * @return null while the head is incomplete, {@link Result#WELL_FORMED}, or the error
	 */
	Result validate(ByteBuf buffer) {
		skipEmptyLines(buffer);
		if (buffer.readableBytes() < 2) {
			return null;
		}
		int end = indexOfHeadEnd(buffer);
		if (end < 0) {
			return (buffer.readableBytes() > this.maxHeadBytes) ? tooLarge() : null;
		}
		this.scannedBytes = 0;
		if (end - buffer.readerIndex() > this.maxHeadBytes) {
			return tooLarge();
		}
		return validateLines(buffer, end);
	}

	private Result tooLarge() {
		return Result.of(ErrorKind.HEAD_TOO_LARGE, "the head has more than " + this.maxHeadBytes + " bytes");
	}

	private void skipEmptyLines(ByteBuf buffer) {
		while (this.scannedBytes == 0 && buffer.readableBytes() >= 2 && isLineEnd(buffer, buffer.readerIndex())) {
			buffer.skipBytes(2);
		}
	}

	// Returns the index after the empty line that ends the head, or -1.
	private int indexOfHeadEnd(ByteBuf buffer) {
		int from = buffer.readerIndex() + Math.max(0, this.scannedBytes - 3);
		// A bare line feed also ends the scan; validateLines reports it as malformed.
		for (int i = from; i < buffer.writerIndex(); i++) {
			if (buffer.getByte(i) != '\n') {
				continue;
			}
			if (i == buffer.readerIndex() || buffer.getByte(i - 1) != '\r') {
				return i + 1;
			}
			if (i >= buffer.readerIndex() + 3 && buffer.getByte(i - 2) == '\n') {
				return i + 1;
			}
		}
		this.scannedBytes = buffer.readableBytes();
		return -1;
	}

	private Result validateLines(ByteBuf buffer, int end) {
		int start = buffer.readerIndex();
		int lines = 0;
		while (start < end) {
			int lineFeed = buffer.indexOf(start, end, (byte) '\n');
			if (lineFeed == start || buffer.getByte(lineFeed - 1) != '\r') {
				return malformed("a line of the head does not end with CR LF");
			}
			int lineEnd = lineFeed - 1;
			String fault = (lines == 0) ? startLineFault(buffer, start, lineEnd)
					: fieldLineFault(buffer, start, lineEnd);
			if (fault != null) {
				return malformed(fault);
			}
			lines++;
			start = lineFeed + 1;
		}
		if (lines - 2 > MAX_HEADERS) {
			return Result.of(ErrorKind.HEAD_TOO_LARGE, "the head has more than " + MAX_HEADERS + " header lines");
		}
		return Result.WELL_FORMED;
	}

	private String startLineFault(ByteBuf buffer, int start, int end) {
		for (int i = start; i < end; i++) {
			int c = buffer.getUnsignedByte(i);
			if (c < ' ' || c == 0x7f || (this.request && c > 0x7f)) {
				return "the first line has a control character or a character outside ASCII";
			}
		}
		return this.request ? requestLineFault(buffer.toString(start, end - start, StandardCharsets.US_ASCII)) : null;
	}

	private static String requestLineFault(String line) {
		String[] parts = line.split(" ", -1);
		if (parts.length != 3 || parts[0].isEmpty() || parts[1].isEmpty()) {
			return "the first line is not 'METHOD target HTTP/1.1' with single spaces";
		}
		if (!parts[0].chars().allMatch(HeadValidator::isTokenCharacter)) {
			return "the method has a character that is not allowed";
		}
		return parts[2].equals("HTTP/1.1") ? null : "the protocol version is not HTTP/1.1";
	}

	private static String fieldLineFault(ByteBuf buffer, int start, int end) {
		if (start == end) {
			return null;
		}
		int first = buffer.getByte(start);
		if (first == ' ' || first == '\t') {
			return "a header line begins with white space (obsolete folding)";
		}
		int colon = buffer.indexOf(start, end, (byte) ':');
		if (colon <= start) {
			return "a header line has no name followed by a colon";
		}
		for (int i = start; i < colon; i++) {
			if (!isTokenCharacter(buffer.getUnsignedByte(i))) {
				return "a header name has a character that is not allowed";
			}
		}
		for (int i = colon + 1; i < end; i++) {
			int c = buffer.getUnsignedByte(i);
			if ((c < ' ' && c != '\t') || c == 0x7f) {
				return "a header value has a control character";
			}
		}
		return null;
	}

	private static boolean isTokenCharacter(int c) {
		return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
				|| TOKEN_MARKS.indexOf(c) >= 0;
	}

	private static boolean isLineEnd(ByteBuf buffer, int index) {
		return buffer.getByte(index) == '\r' && buffer.getByte(index + 1) == '\n';
	}

	private static Result malformed(String detail) {
		return Result.of(ErrorKind.MALFORMED_REQUEST, detail);
	}

	/**
	 * The result of a validation.
	 *
	 * @param errorKind the kind of error, null if the head is well-formed
	 * @param detail what is wrong, null if the head is well-formed
	 */
	record Result(ErrorKind errorKind, String detail) {

		static final Result WELL_FORMED = new Result(null, null);

		static Result of(ErrorKind errorKind, String detail) {
			return new Result(errorKind, detail);
		}

	}

}

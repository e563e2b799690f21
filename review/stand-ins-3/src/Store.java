import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: keyed topics of one partition, appends with a producer, and entries of runners that expire after
 * three heartbeat intervals of silence. Each host has a port of its own, so that the store can turn single hosts away.
 */
final class Store {

	private static final long APPEND_MILLIS = 4;

	private static final long ENTRY_EXPIRY_NANOS = 4_500_000_000L;

	private static final int REMEMBERED = 5;

	private final Map<String, Topic> topics = new HashMap<>();

	private final Map<String, Long> heartbeats = new HashMap<>();

	private final Map<Integer, Integer> ports = new HashMap<>();

	/** The hosts that are answered with 503. */
	private final java.util.Set<Integer> refused = java.util.concurrent.ConcurrentHashMap.newKeySet();

	/** How long each answer takes, in milliseconds, beside the time of an append. */
	volatile long slowMillis;

	int open(int host) throws IOException {
		Server server = new Server("127.0.0.1", 0, (exchange, body) -> {
			if (this.refused.contains(host)) {
				return Server.Reply.json(503, "{}");
			}
			if (this.slowMillis > 0) {
				Thread.sleep(this.slowMillis);
			}
			return handle(exchange.getRequestURI().getPath(), exchange.getRequestURI().getRawQuery(), body);
		});
		this.ports.put(host, server.port());
		return server.port();
	}

	void refuse(int host, boolean value) {
		if (value) {
			this.refused.add(host);
		}
		else {
			this.refused.remove(host);
		}
	}

	synchronized void put(String topic, String key, byte[] value) {
		topic(topic).add(keyed(key, value));
		notifyAll();
	}

	synchronized void heartbeat(String id, byte[] entry) {
		this.heartbeats.put(id, System.nanoTime());
		put("keyed.servers", id, entry);
	}

	/** Removes an entry at once, as when a runner has left. */
	synchronized void remove(String id) {
		if (this.heartbeats.remove(id) != null) {
			put("keyed.servers", id, new byte[0]);
		}
	}

	synchronized void expire() {
		long now = System.nanoTime();
		this.heartbeats.entrySet().removeIf((entry) -> {
			boolean expired = now - entry.getValue() > ENTRY_EXPIRY_NANOS;
			if (expired) {
				put("keyed.servers", entry.getKey(), new byte[0]);
			}
			return expired;
		});
	}

	private static byte[] keyed(String key, byte[] value) {
		byte[] name = key.getBytes(StandardCharsets.UTF_8);
		return ByteBuffer.allocate(1 + name.length + value.length).put((byte) name.length).put(name).put(value).array();
	}

	private Topic topic(String name) {
		return this.topics.computeIfAbsent(name, (key) -> new Topic());
	}

	private Server.Reply handle(String path, String rawQuery, byte[] body) throws InterruptedException {
		Map<String, String> query = new HashMap<>();
		for (String pair : ((rawQuery != null) ? rawQuery : "").split("&")) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				query.put(pair.substring(0, equals),
						URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		String name = query.getOrDefault("topic", "");
		switch (path) {
			case "/api/log-append" -> {
				Thread.sleep(APPEND_MILLIS);
				if (name.equals("keyed.op") || name.equals("keyed.servers")) {
					return Server.Reply.json(403, "{}");
				}
				synchronized (this) {
					Server.Reply reply = topic(name).append(query, body);
					notifyAll();
					return reply;
				}
			}
			case "/api/log-read" -> {
				int from = Integer.parseInt(query.get("from"));
				long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
				synchronized (this) {
					Topic topic = topic(name);
					long left = (until - System.nanoTime()) / 1_000_000;
					while (topic.records.size() <= from && left > 0) {
						wait(left);
						left = (until - System.nanoTime()) / 1_000_000;
					}
					return topic.read(from);
				}
			}
			case "/api/log-newest" -> {
				synchronized (this) {
					return topic(name).newest(query.getOrDefault("after", ""));
				}
			}
			default -> {
				return Server.Reply.json(404, "{}");
			}
		}
	}

	private static final class Topic {

		private final List<byte[]> records = new ArrayList<>();

		private final TreeMap<String, Object[]> newest = new TreeMap<>();

		private final Map<String, Producer> producers = new HashMap<>();

		void add(byte[] record) {
			int length = record[0] & 0xff;
			String key = new String(record, 1, length, StandardCharsets.UTF_8);
			if (record.length == 1 + length) {
				this.newest.remove(key);
			}
			else {
				this.newest.put(key,
						new Object[] { Arrays.copyOfRange(record, 1 + length, record.length), this.records.size() });
			}
			this.records.add(record);
		}

		Server.Reply append(Map<String, String> query, byte[] body) {
			if (query.containsKey("at") && Long.parseLong(query.get("at")) != this.records.size()) {
				return Server.Reply.json(412, "{\"end\":" + this.records.size() + "}");
			}
			if (!query.containsKey("producer")) {
				return addAll(body);
			}
			Producer producer = this.producers.computeIfAbsent(query.get("producer"), (key) -> new Producer());
			long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
			long sequence = Long.parseLong(query.getOrDefault("seqNo", "0"));
			if (epoch < producer.epoch) {
				return Server.Reply.json(409, "{\"reason\":\"fenced\"}");
			}
			if (epoch > producer.epoch) {
				producer.epoch = epoch;
				producer.last = -1;
				producer.replies.clear();
			}
			if (body.length == 0) {
				return Server.Reply.json(200,
						"{\"offset\":" + this.records.size() + ",\"end\":" + this.records.size() + "}");
			}
			if (producer.replies.containsKey(sequence)) {
				return producer.replies.get(sequence);
			}
			if (producer.last >= 0 && sequence != producer.last + 1) {
				return Server.Reply.json(409, "{\"reason\":\"seq\",\"expected\":" + (producer.last + 1) + "}");
			}
			Server.Reply reply = addAll(body);
			producer.last = sequence;
			producer.replies.put(sequence, reply);
			if (producer.replies.size() > REMEMBERED) {
				producer.replies.pollFirstEntry();
			}
			return reply;
		}

		private Server.Reply addAll(byte[] body) {
			int offset = this.records.size();
			ByteBuffer buffer = ByteBuffer.wrap(body);
			while (buffer.remaining() >= Integer.BYTES) {
				byte[] record = new byte[buffer.getInt()];
				buffer.get(record);
				add(record);
			}
			return Server.Reply.json(200, "{\"offset\":" + offset + ",\"end\":" + this.records.size() + "}");
		}

		Server.Reply read(int from) {
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			bytes.writeBytes(ByteBuffer.allocate(16).putLong(this.records.size()).putLong(0).array());
			for (int offset = from; offset < this.records.size() && bytes.size() < 1_000_000; offset++) {
				byte[] record = this.records.get(offset);
				bytes.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
				bytes.writeBytes(record);
			}
			return new Server.Reply(200, "application/octet-stream", bytes.toByteArray());
		}

		Server.Reply newest(String after) {
			StringBuilder items = new StringBuilder();
			int count = 0;
			boolean more = false;
			for (Map.Entry<String, Object[]> entry : this.newest.tailMap(after, false).entrySet()) {
				if (count == 500) {
					more = true;
					break;
				}
				items.append((count++ > 0) ? "," : "")
					.append("{\"key\":")
					.append(Json.quote(entry.getKey()))
					.append(",\"value\":\"")
					.append(Base64.getEncoder().encodeToString((byte[]) entry.getValue()[0]))
					.append("\",\"offset\":")
					.append(entry.getValue()[1])
					.append('}');
			}
			return Server.Reply.json(200,
					"{\"items\":[" + items + "],\"more\":" + more + ",\"end\":" + this.records.size() + "}");
		}

	}

	private static final class Producer {

		private long epoch = -1;

		private long last = -1;

		private final TreeMap<Long, Server.Reply> replies = new TreeMap<>();

	}

}

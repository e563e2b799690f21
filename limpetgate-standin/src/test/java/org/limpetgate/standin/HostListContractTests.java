package org.limpetgate.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.limpetgate.DataCentreId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.UpstreamId;
import org.limpetgate.net.platform.HostListCodec;
import org.limpetgate.net.platform.HttpHostList;
import org.limpetgate.net.platform.PlatformClientSettings;
import org.limpetgate.platform.HostList;
import org.limpetgate.platform.HostListView;
import org.limpetgate.platform.ListedHost;
import org.limpetgate.platform.ListedUpstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Contract tests for {@link HostList}, run against the network client and the stand-in.
 */
class HostListContractTests {

	private static final DataCentreId OVIEDO = DataCentreId.of("oviedo");

	private static final List<ListedHost> HOSTS = List.of(
			new ListedHost(HostId.of("e1"), OVIEDO, "10.0.0.1", 80, false),
			new ListedHost(HostId.of("e2"), OVIEDO, "10.0.0.2", 80, true));

	private static final List<ListedUpstream> UPSTREAMS = List
		.of(new ListedUpstream(UpstreamId.of("r1"), OVIEDO, "10.0.1.1", 81, true));

	private static final Query UNFILTERED = new Query(List.of("v1", "hosts"), Map.of());

	private final EventLoopGroup group = StandIns.newEventLoops(2);

	private final PlatformStandIn platform = PlatformStandIn.start(this.group, LogLimits.DEFAULT);

	private final HostList hostList = HttpHostList.of(this.group, this.platform.address(),
			PlatformClientSettings.DEFAULT.withRequestTimeout(Duration.ofSeconds(20)));

	@AfterTry
	void close() {
		this.platform.close();
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

	/**
	 * Guards against a lost leaving flag, which would send new work to a leaving
	 * upstream.
	 */
	@Example
	void listHasAllFields() {
		this.platform.setHosts(HOSTS, UPSTREAMS);
		HostListView view = Futures.get(this.hostList.read());
		assertThat(view.hosts()).isEqualTo(HOSTS);
		assertThat(view.upstreams()).isEqualTo(UPSTREAMS);
	}

	/**
	 * Guards against a stale list that is mistaken for a current one.
	 */
	@Example
	void laggingAndFrozenListsReportTheirAge() {
		HostListEndpoint lagging = new HostListEndpoint(Duration.ofNanos(5));
		lagging.update(new HostListView(HOSTS, List.of(), 0), 100);
		lagging.update(new HostListView(List.of(), UPSTREAMS, 0), 110);
		List<Long> times = List.of(104L, 105L, 114L, 115L);
		assertThat(times).map((now) -> HostListCodec.decode(lagging.read(UNFILTERED, now).reply().body()))
			.map((view) -> view.hosts().size() + "," + view.upstreams().size())
			.containsExactly("0,0", "2,0", "2,0", "0,1");
		this.platform.setHosts(HOSTS, UPSTREAMS);
		this.platform.setFaults(PlatformFaults.NONE.withHostList(false, true));
		this.platform.setHosts(List.of(), List.of());
		assertThat(Futures.get(this.hostList.read()).hosts()).isEqualTo(HOSTS);
		this.platform.setFaults(PlatformFaults.NONE);
		assertThat(Futures.get(this.hostList.read()).hosts()).isEmpty();
		lagging.freeze(true, 120);
		long hour = TimeUnit.HOURS.toNanos(1);
		assertThat(HostListCodec.decode(lagging.read(UNFILTERED, 120 + hour).reply().body()).ageNanos())
			.isEqualTo(hour);
	}

	/**
	 * Guards against a client that uses a stale list after the platform omitted the
	 * content of an unchanged one, and against upstreams of other data centres.
	 */
	@Example
	void unchangedListIsCachedAndChangesAreRead() {
		HostList ofGijon = HttpHostList.withUpstreamsOf(this.group, this.platform.address(),
				PlatformClientSettings.DEFAULT.withRequestTimeout(Duration.ofSeconds(20)), DataCentreId.of("gijon"));
		this.platform.setHosts(HOSTS, UPSTREAMS);
		for (int read = 0; read < 3; read++) {
			HostListView view = Futures.get(this.hostList.read());
			assertThat(view.hosts()).isEqualTo(HOSTS);
			assertThat(view.upstreams()).isEqualTo(UPSTREAMS);
			HostListView otherDataCentre = Futures.get(ofGijon.read());
			assertThat(otherDataCentre.hosts()).isEqualTo(HOSTS);
			assertThat(otherDataCentre.upstreams()).isEmpty();
		}
		this.platform.setHosts(List.of(), UPSTREAMS);
		assertThat(Futures.get(this.hostList.read()).hosts()).isEmpty();
		assertThat(Futures.get(ofGijon.read()).hosts()).isEmpty();
	}

	/**
	 * Guards against an outage that is read as an empty host list.
	 */
	@Example
	void outageIsAFailure() {
		this.platform.setHosts(HOSTS, UPSTREAMS);
		this.platform.setFaults(PlatformFaults.NONE.withHostList(true, false));
		assertThat(Futures.error(this.hostList.read())).extracting(DispatchException::kind)
			.isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
	}

	/**
	 * Guards against an incomplete response that is read as a shorter list.
	 */
	@Example
	void incompleteListsAreRefused() {
		String host = "{\"id\":\"a\",\"dataCentre\":\"d\",\"address\":\"1\",\"port\":1,\"leaving\":false}";
		for (String json : List.of("{}", "{\"ageMillis\":0,\"hosts\":[]}",
				"{\"ageMillis\":-1,\"hosts\":[],\"upstreams\":[]}", "{\"ageMillis\":0,\"hosts\":[],\"upstreams\":null}",
				"{\"ageMillis\":0,\"hosts\":[" + host.replace(",\"leaving\":false", "") + "],\"upstreams\":[]}",
				"{\"ageMillis\":0,\"hosts\":[" + host + "],\"upstreams\":[")) {
			assertThatIllegalArgumentException().as(json)
				.isThrownBy(() -> HostListCodec.decode(json.getBytes(StandardCharsets.UTF_8)));
		}
	}

}

package io.whinjunction.router;

import java.lang.reflect.Proxy;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests of {@link EndedUpstreams}. */
class EndedUpstreamsTests {

	private static final long MOMENT_MS = 60;

	private static final long WHILE_MS = 150;

	private final UpstreamDirectory directory = new UpstreamDirectory((upstream) -> {
	});

	private final RouterContext router = (RouterContext) Proxy.newProxyInstance(getClass().getClassLoader(),
			new Class<?>[] { RouterContext.class }, (proxy, method, arguments) -> switch (method.getName()) {
				case "directory" -> this.directory;
				case "reachability" -> this.reachability;
				default -> throw new UnsupportedOperationException(method.getName());
			});

	private final ReachabilityMonitor reachability = new ReachabilityMonitor(this.router, null);

	private final EndedUpstreams ended = new EndedUpstreams(this.router);

	private final Upstream engine = upstream("e-1", 1, "10.0.0.1:80", "llm");

	EndedUpstreamsTests() {
		this.directory.replace(List.of(this.engine));
	}

	// Guards against a port that is closed for a moment and is taken for an end.
	@Test
	void anUpstreamThatRefusesConnectionsForAMomentLives() {
		this.ended.connectFailed(this.engine, 0, true);
		this.ended.connectFailed(this.engine, MOMENT_MS, true);

		assertThat(this.ended.ended("e-1@1")).isFalse();
	}

	@Test
	void anUpstreamThatRefusesConnectionsForAWhileHasEnded() {
		this.ended.connectFailed(this.engine, 0, true);
		this.ended.connectFailed(this.engine, WHILE_MS, true);

		assertThat(this.ended.ended("e-1@1")).isTrue();
	}

	// Guards against an upstream that stands still and is taken for one that has ended.
	@Test
	void anUpstreamToWhichNoConnectionIsAnsweredLivesWhileItIsListed() {
		this.ended.connectFailed(this.engine, 0, false);
		this.ended.connectFailed(this.engine, WHILE_MS, true);
		assertThat(this.ended.ended("e-1@1")).isFalse();

		this.directory.replace(List.of());

		assertThat(this.ended.ended("e-1@1")).isTrue();
	}

	// Guards against an upstream that leaves, or whose entry has lapsed, and is taken for
	// one that has ended.
	@Test
	void anUpstreamThatIsNotListedLives() {
		this.directory.replace(List.of());

		assertThat(this.ended.ended("e-1@1")).isFalse();
	}

	@Test
	void anUpstreamOfWhichSomethingIsHeardLives() {
		this.ended.connectFailed(this.engine, 0, true);
		this.ended.connectFailed(this.engine, WHILE_MS, true);

		this.ended.lives("e-1@1");

		assertThat(this.ended.ended("e-1@1")).isFalse();
	}

	@Test
	void anUpstreamWhoseNameOrAddressBelongsToALaterOneHasEnded() {
		this.directory.replace(List.of(upstream("e-1", 2, "10.0.0.1:80", "llm")));
		assertThat(this.ended.ended("e-1@1")).isTrue();

		this.directory.replace(List.of(upstream("s-9", 3, "10.0.0.1:80", "plain")));

		assertThat(this.ended.ended("e-1@2")).isTrue();
	}

	private static Upstream upstream(String id, long bornMs, String address, String service) {
		return new Upstream(id, bornMs, service, address, "a", 8, null, null, false);
	}

}

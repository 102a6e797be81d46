package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The upstreams that a router knows.
 */
class UpstreamDirectoryTests {

	private final List<String> left = new ArrayList<>();

	private final UpstreamDirectory directory = new UpstreamDirectory((upstream) -> this.left.add(upstream.id()));

	@Test
	void whatIsNoLongerListedIsGone() {
		this.directory.replace(List.of(upstream("1", "a:1", false), upstream("2", "a:2", false)));
		this.directory.replace(List.of(upstream("2", "a:2", false)));

		assertThat(this.directory.find("1")).isNull();
		assertThat(this.left).containsExactly("1");
	}

	@Test
	void aLeavingUpstreamIsToldOfOnceAndTakesNothingNew() {
		this.directory.replace(List.of(upstream("1", "a:1", false)));
		this.directory.change(new UpstreamChanges(List.of(upstream("1", "a:1", true)), List.of(), 2));
		this.directory.change(new UpstreamChanges(List.of(upstream("1", "a:1", true)), List.of(), 3));

		assertThat(this.directory.staying("s")).isEmpty();
		assertThat(this.left).containsExactly("1");
	}

	// A request reaches a service that it must never reach: the address of a server that
	// is
	// gone was given to another service's. Addresses lead to whoever was listed last.
	@Test
	void anAddressThatIsUsedAgainLeadsToItsNewOwner() {
		this.directory.replace(List.of(upstream("1", "a:1", false)));
		this.directory.change(new UpstreamChanges(List.of(upstream("2", "a:1", false)), List.of("1"), 2));

		assertThat(this.directory.findByAddress("a:1").upstream().id()).isEqualTo("2");
	}

	@Test
	void theBusiestEnginesAreToldFirst() {
		this.directory.replace(List.of(upstream("1", "a:1", false), upstream("2", "a:2", false)));
		this.directory.find("1").began(10);
		this.directory.find("2").began(20);

		assertThat(this.directory.busiest(1)).containsOnlyKeys("2");
	}

	private static Upstream upstream(String id, String address, boolean leaving) {
		return new Upstream(id, "s", address, "d", 4, null, null, leaving);
	}

}

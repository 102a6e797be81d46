package io.whinjunction.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import io.whinjunction.configuration.Configuration;
import io.whinjunction.configuration.ConfigurationHolder;
import io.whinjunction.configuration.Service;
import io.whinjunction.engine.EngineClient;
import io.whinjunction.engine.EngineClient.EngineReport;
import io.whinjunction.pipeline.Upstream;
import io.whinjunction.pipeline.UpstreamTable;
import io.whinjunction.platform.ObjectStore;
import io.whinjunction.platform.ObjectStore.Instance;
import io.whinjunction.platform.ObjectStore.Instances;
import io.whinjunction.time.Ticker;

/**
 * Updates the table of upstreams from the instance list of the platform and the reports
 * of engines about their layers.
 * <p>
 * Invariant: while the platform is unavailable the last list stays in use, and engines
 * are still queried. An engine that does not respond keeps its last report, since only a
 * failed step proves that it is dead; one that requested a backoff is not queried until
 * its end and keeps its report too. Confined to one thread.
 */
final class UpstreamPoller {

	private final ObjectStore store;

	private final EngineClient engines;

	private final ConfigurationHolder configuration;

	private final UpstreamTable table;

	private final Ticker ticker;

	private final Map<String, EngineReport> reports = new ConcurrentHashMap<>();

	private List<Instance> instances = List.of();

	UpstreamPoller(ObjectStore store, EngineClient engines, ConfigurationHolder configuration, UpstreamTable table,
			Ticker ticker) {
		this.store = store;
		this.engines = engines;
		this.configuration = configuration;
		this.table = table;
		this.ticker = ticker;
	}

	/**
	 * Polls once.
	 * @return whether the platform answered
	 */
	boolean step() {
		Instances listed = this.store.instances();
		if (listed instanceof Instances.Listed list) {
			this.instances = list.instances();
		}
		queryEngines();
		List<Upstream> upstreams = new ArrayList<>();
		for (Instance instance : this.instances) {
			upstreams.add(upstream(instance));
		}
		this.table.replace(upstreams);
		return listed instanceof Instances.Listed;
	}

	private void queryEngines() {
		Configuration current = this.configuration.configuration();
		this.reports.keySet().retainAll(this.instances.stream().map(Instance::id).toList());
		try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
			for (Instance instance : this.instances) {
				if (current.services().get(instance.service()) instanceof Service.Model
						&& this.table.backoffMs(instance.id(), this.ticker.nowMs()) == 0) {
					executor.execute(() -> {
						EngineReport report = this.engines.report(instance.address());
						if (report != null) {
							this.reports.put(instance.id(), report);
						}
					});
				}
			}
		}
	}

	private Upstream upstream(Instance instance) {
		EngineReport report = this.reports.get(instance.id());
		if (report == null) {
			return new Upstream(instance.id(), instance.service(), instance.address(), instance.failureDomain(), null,
					0, 0, 0, instance.leaving());
		}
		boolean leaving = instance.leaving() || report.leaving();
		return new Upstream(instance.id(), instance.service(), instance.address(), instance.failureDomain(),
				report.loading() ? null : report.range(), report.generation(), report.tokensPerSecond(),
				report.running(), leaving);
	}

}

package merlinlever.testing.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import merlinlever.controller.Outcome;
import merlinlever.fleet.membership.PeerMessage;
import merlinlever.fleet.replication.VersionedEntry;
import merlinlever.fleet.routes.FlapDamping;
import merlinlever.fleet.routes.LocalServiceHealth;
import merlinlever.fleet.routes.PeerTableSync;
import merlinlever.fleet.routes.Relation;
import merlinlever.fleet.routes.Restrictions;
import merlinlever.fleet.routes.Route;
import merlinlever.fleet.routes.RouteSelector;
import merlinlever.fleet.routes.RouteTable;
import merlinlever.fleet.routes.RoutingPolicy;
import merlinlever.fleet.routes.RoutingTable;
import merlinlever.fleet.view.FleetView;
import merlinlever.fleet.view.MembershipView;
import merlinlever.fleet.view.QuorumStatus;
import merlinlever.testing.faults.audit.RouteExportAudit;

/**
 * Sites with several backends each that publish routes to each other and send calls along them, on a network and clocks of the
 * model's own: words late, lost, doubled and out of order, backends and sites cut off, killed and back, records services lost.
 * All from a seed; an auditor sees what passes between sites.
 */
public final class RoutesModel extends VirtualNetwork {

    private static final double DRIFT = 0.01;
    private static final RouteSelector.RoutingClass[] TARIFFS = {
        new RouteSelector.RoutingClass("reads", RouteSelector.RetrySafety.IDEMPOTENT, true),
        new RouteSelector.RoutingClass("orders", RouteSelector.RetrySafety.IDEMPOTENT_BY_KEY, true)
    };
    private static final int STEP = 20;

    /** One site: its service, and what it publishes. */
    public final class Site {
        final int index;
        final String name;
        public final List<SiteBackend> nodes = new ArrayList<>();
        /** Of its own routes; null for none. */
        Restrictions restrictions;

        public boolean serviceUp = true;
        /** It passes on all that it has, whatever it may. */
        public boolean leaks;

        final Map<String, RouteTable> published = new TreeMap<>();
        long incarnation = 1, sequence;
        public int calls = 200;
        public long served, brokenOff;

        Site(int index, String name) {
            this.index = index;
            this.name = name;
        }

        public String name() {
            return name;
        }

        /** From now on its own routes are restricted so; null withdraws them. */
        public void restrict(Restrictions now_) {
            restrictions = now_;
            audit.recordRestrictions(now, name, now_);
        }

        /** It lost what it knew of its versions, and comes with an older one. */
        public void forgetVersions() {
            sequence = 0;
            published.clear();
        }

        private String place() {
            return "10.0.0." + (index + 1) + ":1";
        }

        /** What it publishes to another: asked of its first backend. */
        private RouteTable publish(SiteBackend first, String to) {
            List<Route> own = new ArrayList<>();
            for (RouteSelector.RoutingClass each : TARIFFS) {
                if (restrictions != null) {
                    own.add(new Route(
                            each.name(), "records", place(), calls, 1, false, List.of(name), null, restrictions));
                }
            }
            List<Route> all =
                    leaks ? new ArrayList<>(own) : first.routes.export(first.clock(), to, own, place(), calls, 1);
            if (leaks) {
                for (String from : first.routes.partners()) {
                    RouteTable its = first.routes.latestTable(from);
                    if (its != null) {
                        its.routes().values().stream()
                                .filter(each ->
                                        each.path().size() < 4 && !each.path().contains(name))
                                .forEach(each -> {
                                    List<String> path = new ArrayList<>(List.of(name));
                                    path.addAll(each.path());
                                    all.add(new Route(
                                            each.priorityClass(),
                                            each.group(),
                                            place(),
                                            each.callsPerSecond(),
                                            0,
                                            false,
                                            path,
                                            each.onlyToCustomerSite(),
                                            each.restrictions()));
                                });
                    }
                }
            }
            Relation relation = relations.get(to + " " + name);
            RouteTable before = published.get(to);
            RouteTable next = RouteTable.of(name, incarnation, sequence + 1, relation, lease, all);
            if (before == null || !before.routes().equals(next.routes()) || before.incarnation() != incarnation) {
                sequence++;
                published.put(to, next);
            }
            return published.get(to);
        }
    }

    /** One backend. */
    public final class SiteBackend implements FleetView {
        final Site site;
        final int index;
        final double rate;
        final long offset;
        public boolean up = true;
        public int side;
        RoutingTable routes;
        PeerTableSync fellows;
        RouteSelector exits;
        LocalServiceHealth own;
        final Map<String, long[]> asked = new TreeMap<>();
        final Map<String, List<VersionedEntry>> words = new TreeMap<>();
        public final List<String> told = new ArrayList<>();

        SiteBackend(Site site, int index) {
            this.site = site;
            this.index = index;
            rate = 1 + (chance.nextDouble() - 0.5) * DRIFT;
            offset = chance.nextInt(100_000);
        }

        Duration clock() {
            return Duration.ofNanos((long) ((now + offset) * rate * 1e6));
        }

        /** It begins anew and knows nothing. */
        public void begin() {
            List<RoutingTable.PartnerSettings> stated = new ArrayList<>();
            sites.forEach(each -> Optional.ofNullable(relations.get(site.name + " " + each.name))
                    .ifPresent(its -> stated.add(new RoutingTable.PartnerSettings(each.name, its))));
            routes = new RoutingTable(
                    new RoutingPolicy(site.name),
                    stated,
                    DRIFT,
                    FlapDamping.FlapDampingSettings.RECOMMENDED,
                    this,
                    line -> {
                        if (told.size() < 200) {
                            told.add(now + " " + line.text());
                        }
                    });
            fellows = new PeerTableSync(routes, chance.nextLong(1L << 40), chance.split());
            exits = new RouteSelector(routes, site.nodes.size() == 0 ? 1 : perSite);
            own = new LocalServiceHealth(LocalServiceHealth.HealthSettings.DEFAULTS);
            words.clear();
            asked.clear();
            up = true;
        }

        private boolean hears(SiteBackend other) {
            return up && other.up && side == other.side;
        }

        @Override
        public QuorumStatus status(Duration at) {
            long heard = site.nodes.stream().filter(this::hears).count();
            return heard == perSite
                    ? QuorumStatus.FULL
                    : 2 * heard > perSite
                            ? QuorumStatus.MAJORITY
                            : heard > 1 ? QuorumStatus.MINORITY : QuorumStatus.ISOLATED;
        }

        @Override
        public Duration statusSince() {
            return Duration.ZERO;
        }

        @Override
        public MembershipView view() {
            return MembershipView.NONE;
        }

        private void look() {
            routes.tick(clock());
            for (PeerMessage.Text each : fellows.dueQueries(clock(), others())) {
                say(each);
            }
            if (index < 2) {
                for (String partner : routes.partners()) {
                    long[] last = asked.computeIfAbsent(partner, p -> new long[] {0, -1_000_000, 0});
                    if (now - last[1] >= lease.toMillis() / 5) {
                        last[0]++;
                        last[1] = now;
                        last[2] = clock().toNanos();
                        ask(partner, last[0], clock());
                    }
                }
            }
            if (chance.nextInt(10) == 0) {
                SiteBackend other = site.nodes.get(chance.nextInt(perSite));
                words.values().forEach(all -> all.forEach(word -> toFellow(this, other, () -> other.came(word))));
            }
        }

        private List<String> others() {
            return site.nodes.stream()
                    .filter(each -> each != this)
                    .map(each -> "" + each.index)
                    .toList();
        }

        private void say(PeerMessage.Text each) {
            SiteBackend to = site.nodes.get(Integer.parseInt(each.recipient()));
            toFellow(this, to, () -> to.fellows
                    .receive(to.clock(), "" + index, each.correlationId(), each.text())
                    .forEach(to::say));
        }

        private void ask(String partner, long number, Duration from) {
            Site there = site(partner);
            SiteBackend first = there.nodes.get(0);
            toSite(this, there, () -> {
                if (first.up) {
                    RouteTable table = there.publish(first, site.name);
                    audit.recordTable(now, partner, site.name, table);
                    toSite(first, site, () -> {
                        long[] last = asked.get(partner);
                        if (up && last != null && last[0] == number && last[2] == from.toNanos()) {
                            read(table, from);
                        }
                    });
                }
            });
        }

        private void read(RouteTable table, Duration from) {
            if (routes.offer(clock(), table)) {
                words.put(table.site(), PeerTableSync.toEntries(table));
            }
            RoutingTable.TableLease holds = routes.lease(clock(), table.site());
            if (holds != null && table.equals(routes.latestTable(table.site()))) {
                routes.renew(
                        clock(),
                        new RoutingTable.Renewal(
                                table.site(),
                                table.incarnation(),
                                table.sequence(),
                                holds.digest(),
                                from,
                                table.lease()));
            }
        }

        private void came(VersionedEntry word) {
            if (fellows.receiveEntry(clock(), word)) {
                words.put(word.owner(), PeerTableSync.toEntries(routes.latestTable(word.owner())));
            }
        }

        // ---- calls

        /** An operation whose run needs a call. */
        public void operation() {
            RouteSelector.RoutingClass tariff = TARIFFS[chance.nextInt(2)];
            long id = ++operations;
            audit.recordStart(id, now + 4000);
            attempt(id, tariff, "k" + chance.nextInt(500), new HashSet<>(), false, 0);
        }

        private void attempt(
                long id, RouteSelector.RoutingClass tariff, String key, Set<String> tried, boolean missing, int times) {
            boolean effect = tariff.retrySafety() != RouteSelector.RetrySafety.IDEMPOTENT;
            if (own.state() == LocalServiceHealth.HealthState.HEALTHY || own.shouldProbe(clock()) || without) {
                long began = now;
                boolean lostThen = !site.serviceUp;
                later(lostThen ? 1 : 5 + chance.nextInt(20), () -> {
                    Outcome how =
                            lostThen ? Outcome.UNREACHABLE : site.serviceUp ? Outcome.OK : Outcome.CONNECTION_LOST;
                    if ((how == Outcome.OK && effect)
                            || (how == Outcome.CONNECTION_LOST && effect && chance.nextBoolean())) {
                        audit.recordEffect(now, id, site.name);
                    }
                    own.recordOutcome(clock(), how, Duration.ofMillis(now - began));
                    ended(id, tariff, key, tried, missing, times, how);
                });
                return;
            }
            Optional<RouteSelector.SelectedRoute> way = exits.selectRoute(
                    clock(), new RouteSelector.RoutedCall(tariff, "records", key, tried, missing), own.state(), false);
            if (way.isEmpty()) {
                ended(id, tariff, key, tried, missing, 9, Outcome.UNREACHABLE);
                return;
            }
            String route = way.get().routeId();
            List<String> path =
                    List.of(route.substring(route.lastIndexOf('/') + 1).split(">"));
            tried.add(way.get().address());
            Site first = site(path.get(0)), last = site(path.get(path.size() - 1));
            boolean[] over = new boolean[1];
            later(600, () -> {
                if (!over[0]) {
                    over[0] = true;
                    ended(id, tariff, key, tried, missing, times, Outcome.CONNECTION_LOST);
                }
            });
            boolean[] came = new boolean[1];
            audit.recordCall(now, site.name, path, effect);
            toSite(this, first, () -> {
                // A connection carries a call once.
                if (came[0]) {
                    return;
                }
                came[0] = true;
                boolean ran = last.serviceUp;
                if (ran && effect) {
                    audit.recordEffect(now, id, last.name);
                }
                toSite(first.nodes.get(0), site, () -> {
                    if (!over[0]) {
                        over[0] = true;
                        ended(id, tariff, key, tried, missing, times, ran ? Outcome.OK : Outcome.REJECTED);
                    }
                });
            });
        }

        private void ended(
                long id,
                RouteSelector.RoutingClass tariff,
                String key,
                Set<String> tried,
                boolean missing,
                int times,
                Outcome how) {
            boolean again = how != Outcome.OK
                    && times < 3
                    && (how.provesNoEffect()
                            || tariff.retrySafety() == RouteSelector.RetrySafety.IDEMPOTENT
                            || secondWay);
            if (again) {
                attempt(id, tariff, key, tried, missing || !how.provesNoEffect(), times + 1);
                return;
            }
            audit.recordEnd(now, id);
            site.served += how == Outcome.OK ? 1 : 0;
            site.brokenOff += how == Outcome.OK ? 0 : 1;
        }
    }

    final Duration lease;
    final int perSite;
    public final List<Site> sites = new ArrayList<>();
    private final Map<String, Relation> relations = new TreeMap<>();
    public final RouteExportAudit audit;
    private long operations;
    /** Pairs of sites that do not hear each other; and calls stay home. */
    public final Set<String> cut = new HashSet<>();

    public boolean without;
    /** The module asks again whatever happened; only the exits hold a second way back. */
    public boolean secondWay;

    /** @param relations of pairs "a b": what b is to a; the other way round follows */
    public RoutesModel(long seed, int perSite, Duration lease, List<String> names, Map<String, Relation> relations) {
        super(seed);
        this.lease = lease;
        this.perSite = perSite;
        relations.forEach((pair, its) -> {
            this.relations.put(pair, its);
            this.relations.put(
                    pair.substring(pair.indexOf(' ') + 1) + " " + pair.substring(0, pair.indexOf(' ')), its.inverse());
        });
        audit = new RouteExportAudit((one, other) -> this.relations.get(one + " " + other), lease.toMillis());
        names.forEach(name -> sites.add(new Site(sites.size(), name)));
        for (Site each : sites) {
            for (int i = 0; i < perSite; i++) {
                each.nodes.add(new SiteBackend(each, i));
            }
            each.restrict(Restrictions.NONE);
        }
        sites.forEach(each -> each.nodes.forEach(SiteBackend::begin));
    }

    public Site site(String name) {
        return sites.stream().filter(each -> each.name.equals(name)).findFirst().orElseThrow();
    }

    private void toFellow(SiteBackend from, SiteBackend to, Runnable what) {
        if (from != to && from.hears(to)) {
            carry(() -> {
                if (to.up) {
                    what.run();
                }
            });
        }
    }

    private void toSite(SiteBackend from, Site to, Runnable what) {
        if (from.up
                && !cut.contains(from.site.name + " " + to.name)
                && !cut.contains(from.site.name + from.side + " " + to.name)) {
            carry(what);
        }
    }

    public void cut(String one, String other) {
        cut.add(one + " " + other);
        cut.add(other + " " + one);
    }

    /**
     * Runs the model on for a span of virtual time.
     *
     * @param perStep operations that begin in each step of 20 ms, at drawn backends
     */
    public void run(long ms, int perStep) {
        long end = now + ms;
        while (now < end) {
            until(now + STEP);
            sites.forEach(site -> site.nodes.stream().filter(node -> node.up).forEach(SiteBackend::look));
            for (int i = 0; i < perStep; i++) {
                SiteBackend node = sites.get(chance.nextInt(sites.size())).nodes.get(chance.nextInt(perSite));
                if (node.up) {
                    node.operation();
                }
            }
        }
    }

    /** Whether a backend has a way for reads. */
    public boolean hasWay(SiteBackend node) {
        return !node.routes.candidates(node.clock(), "reads/records").isEmpty();
    }

    /** What a backend would decide with, as text. */
    public String merged(SiteBackend node) {
        return node.routes.describe();
    }
}

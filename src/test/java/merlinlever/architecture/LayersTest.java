package merlinlever.architecture;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks the dependencies between packages as documented in docs/architecture.md, and which packages do I/O. */
class LayersTest {

    private static final String ROOT = "merlinlever";

    /** Packages with pure decisions or in-memory state, whose results depend only on their arguments. */
    private static final String[] DECISION_PACKAGES = {
        ROOT + ".controller..",
        ROOT + ".policy..",
        ROOT + ".driver..",
        ROOT + ".fleet.membership",
        ROOT + ".fleet.election",
        ROOT + ".fleet.view",
        ROOT + ".fleet.quota",
        ROOT + ".fleet.replication",
        ROOT + ".fleet.routes",
        ROOT + ".fleet.recovery",
        ROOT + ".fleet.experiments",
        ROOT + ".host.state",
        ROOT + ".dns.record",
        ROOT + ".dns.state",
        ROOT + ".dns.follow",
    };

    private static final JavaClasses PROGRAM = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages(ROOT);

    @Test
    void layersOnlyDependOnLowerLayers() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("cli")
                .definedBy(ROOT + ".cli..")
                .layer("testing")
                .definedBy(ROOT + ".testing..")
                .layer("simulator")
                .definedBy(ROOT + ".simulator..")
                .layer("host")
                .definedBy(ROOT + ".host..")
                .layer("dns")
                .definedBy(ROOT + ".dns..")
                .layer("fleet")
                .definedBy(ROOT + ".fleet..")
                .layer("backend")
                .definedBy(ROOT + ".backend..")
                .layer("driver")
                .definedBy(ROOT + ".driver..")
                .layer("policy")
                .definedBy(ROOT + ".policy..")
                .layer("controller")
                .definedBy(ROOT + ".controller..")
                .layer("common")
                .definedBy(ROOT + ".common..")
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("testing")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("simulator")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("host")
                .mayOnlyBeAccessedByLayers("cli", "testing")
                .whereLayer("dns")
                .mayOnlyBeAccessedByLayers("cli", "testing")
                .whereLayer("fleet")
                .mayOnlyBeAccessedByLayers("cli", "testing", "host")
                .whereLayer("backend")
                .mayOnlyBeAccessedByLayers("cli", "testing", "fleet")
                .whereLayer("driver")
                .mayOnlyBeAccessedByLayers("cli", "testing", "simulator", "host", "dns", "backend")
                .whereLayer("policy")
                .mayOnlyBeAccessedByLayers("cli", "testing", "simulator", "host", "dns", "backend", "driver")
                .whereLayer("controller")
                .mayOnlyBeAccessedByLayers(
                        "cli", "testing", "simulator", "host", "dns", "fleet", "backend", "driver", "policy")
                .check(PROGRAM);
    }

    @Test
    void everyClassBelongsToALayer() {
        classes()
                .should()
                .resideInAnyPackage(
                        ROOT + ".cli..",
                        ROOT + ".testing..",
                        ROOT + ".simulator..",
                        ROOT + ".host..",
                        ROOT + ".dns..",
                        ROOT + ".fleet..",
                        ROOT + ".backend..",
                        ROOT + ".driver..",
                        ROOT + ".policy..",
                        ROOT + ".controller..",
                        ROOT + ".common..")
                .check(PROGRAM);
    }

    @Test
    void packagesHaveNoCyclicDependencies() {
        slices().matching(ROOT + ".(**)").should().beFreeOfCycles().check(PROGRAM);
    }

    @Test
    void decisionPackagesDoNoIo() {
        noClasses()
                .that(resideInAnyPackage(DECISION_PACKAGES))
                .should()
                .dependOnClassesThat(resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file.."))
                .orShould()
                .dependOnClassesThat(isOperatingSystemStream())
                .check(PROGRAM);
    }

    @Test
    void decisionPackagesUseNoThreadAndNoClock() {
        noClasses()
                .that(resideInAnyPackage(DECISION_PACKAGES))
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, java.time.Clock.class, java.util.Timer.class)
                .orShould()
                .dependOnClassesThat(resideInAnyPackage("java.util.concurrent.."))
                .orShould()
                .accessTargetWhere(isClockReading())
                .check(PROGRAM);
    }

    @Test
    void onlyTheCommandLineUsesTheTestingPackage() {
        noClasses()
                .that()
                .resideOutsideOfPackages(ROOT + ".testing..", ROOT + ".cli..")
                .should()
                .dependOnClassesThat(resideInAnyPackage(ROOT + ".testing.."))
                .check(PROGRAM);
    }

    @Test
    void theProgramIsImportedCompletely() {
        assertTrue(PROGRAM.size() > 500, PROGRAM.size() + " classes");
        for (String decisionPackage : DECISION_PACKAGES) {
            assertTrue(PROGRAM.stream().anyMatch(resideInAnyPackage(decisionPackage)), decisionPackage + " is empty");
        }
    }

    /** Matches java.io streams that may access files or sockets; in-memory streams are excluded. */
    private static DescribedPredicate<JavaClass> isOperatingSystemStream() {
        Set<String> inMemory = Set.of("ByteArrayInputStream", "ByteArrayOutputStream", "StringReader", "StringWriter");
        return new DescribedPredicate<>("java.io streams that are not in memory") {
            @Override
            public boolean test(JavaClass type) {
                String name = type.getSimpleName();
                return type.getPackageName().equals("java.io")
                        && (name.endsWith("Stream")
                                || name.endsWith("Reader")
                                || name.endsWith("Writer")
                                || name.startsWith("File")
                                || name.equals("RandomAccessFile"))
                        && !inMemory.contains(name);
            }
        };
    }

    private static DescribedPredicate<JavaAccess<?>> isClockReading() {
        Set<String> clockMethods = Set.of("nanoTime", "currentTimeMillis", "now");
        return new DescribedPredicate<>("reading the time of day or the monotonic clock") {
            @Override
            public boolean test(JavaAccess<?> access) {
                String owner = access.getTargetOwner().getName();
                return clockMethods.contains(access.getName())
                        && (owner.equals("java.lang.System") || owner.startsWith("java.time."));
            }
        };
    }
}

//! The program rejects invalid input with one line of text, and leaves no processes behind.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use procfs::process::{all_processes, Process};
use rustix::process::{kill_process, Pid, Signal};

const PROGRAM: &str = env!("CARGO_BIN_EXE_reeddock-scale-test");
const FORWARDER: &str = env!("CARGO_BIN_EXE_reeddock-scale-test-forwarder");

fn scenario_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/scale")
}

fn small_scenario_text() -> String {
    std::fs::read_to_string(scenario_folder().join("small.toml")).unwrap()
}

fn error_line(output: &Output) -> String {
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(output.stdout.is_empty());
    text
}

/// Returns the error for the small scenario with one occurrence of `original` replaced by
/// `replacement`.
fn rejection(arguments: &[&str], original: &str, replacement: &str) -> String {
    let text = small_scenario_text();
    assert!(text.contains(original), "small.toml does not contain {original:?}");
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("bad.toml");
    std::fs::write(&file, text.replacen(original, replacement, 1)).unwrap();
    let output = Command::new(PROGRAM).args(arguments).arg(&file).args(["--forwarder", FORWARDER]).output();
    error_line(&output.unwrap())
}

#[test]
fn invalid_scenario_is_rejected_with_place_and_expected_value() {
    for (original, replacement, expected) in [
        ("hollow = 40", "hollow = 40\nhallow = 1", ["line 11", "unknown field `hallow`"]),
        (
            "forgets = true",
            "forgets = true\nuntil = 3",
            ["expected a scale scenario", "unknown field `until`"],
        ),
        ("kind = \"zone\"", "kind = \"quake\"", ["unknown variant `quake`", "region_cut"]),
        ("zone = 3", "zone = 7", ["key trouble[2].zone", "expected 0 to 6, found 7"]),
        ("version = 1", "version = 2", ["key version", "expected 1 to 1, found 2"]),
        ("real = 2", "real = 101", ["key fleet.real", "expected 0 to 100"]),
        ("hollow = 40", "hollow = -1", ["line 10", "invalid value"]),
        ("targets = 500", "targets = 0", ["key list.targets", "found 0"]),
        ("zones = 7", "zones = 2", ["key fleet.regions", "expected 1 to 2, found 3"]),
        ("every_s = 0.1", "every_s = nan", ["key changes.every_s", "found NaN"]),
        (
            "every_s = 0.1",
            "every_s = 0.001\nlasts_s = 7200 # ",
            ["expected a scale scenario", "duplicate key"],
        ),
        ("lasts_s = 6", "lasts_s = 0.05", ["lasts_s by every_s", "expected 1 to 100000"]),
        ("at_s = 0.5", "at_s = 60", ["key trouble[0].at_s", "expected 0 to 6"]),
        (
            "memory_mb = 64",
            "memory_mb = 16384\n# ",
            ["fleet and list: needs about", "half of the machine's memory"],
        ),
        ("descriptors = 256", "descriptors = 1048576", ["fleet: needs", "ulimit -n"]),
    ] {
        let original_fleet_size =
            if replacement.starts_with("memory_mb") || replacement.starts_with("descriptors") {
                "real = 2"
            } else {
                ""
            };
        // With 100 real forwarders, the needs exceed the memory and the descriptor limit of any test machine.
        let text = if original_fleet_size.is_empty() {
            rejection(&[], original, replacement)
        } else {
            rejection_with_100_forwarders(original, replacement)
        };
        assert!(expected.iter().all(|expected| text.contains(expected)), "{replacement}: {text}");
    }
}

fn rejection_with_100_forwarders(original: &str, replacement: &str) -> String {
    let text = small_scenario_text().replacen("real = 2", "real = 100", 1).replacen(original, replacement, 1);
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("bad.toml");
    // Memory is checked before descriptors, so the memory that is needed is reduced.
    let text = if replacement.starts_with("descriptors") {
        text.replacen("memory_mb = 64", "memory_mb = 8", 1)
    } else {
        text
    };
    std::fs::write(&file, text).unwrap();
    error_line(&Command::new(PROGRAM).arg(&file).args(["--forwarder", FORWARDER]).output().unwrap())
}

#[test]
fn missing_files_and_arguments_are_rejected() {
    let run = |arguments: &[&str]| error_line(&Command::new(PROGRAM).args(arguments).output().unwrap());
    assert!(run(&["no-such.toml"]).contains("no-such.toml: expected a scenario file"));
    let file = scenario_folder().join("small.toml");
    let text = run(&[file.to_str().unwrap(), "--forwarder", "/no/such/program"]);
    assert!(
        text.contains("--forwarder: expected the built program reeddock") && text.contains("/no/such"),
        "{text}"
    );
    assert!(run(&[]).contains("<SCENARIO>") && run(&["fit"]).contains("<SCENARIO>"));
    assert!(run(&["x.toml", "--quick"]).contains("unexpected argument '--quick'"));
}

#[test]
fn run_is_aborted_at_its_time_limit() {
    let message = rejection(&[], "limit_s = 60", "limit_s = 0.5");
    assert!(message.contains("the run: not over within limit_s = 0.5"), "{message}");
}

#[test]
fn fit_requires_four_different_sizes() {
    let fit = "\n[fit]\ntargets = [100, 200, 200, 300]\ntarget_targets = 320000\ntarget_forwarders = 1000\n";
    let message = rejection(&["fit"], "[process]", &format!("{fit}[process]"));
    assert!(
        message.contains("key fit.targets: expected 4 different sizes or more, or none, found 3"),
        "{message}"
    );
    let message = rejection(&["fit"], "small", "small");
    assert!(message.contains("expected a table [fit]"), "{message}");
}

#[test]
fn scenarios_in_the_repository_are_valid() {
    for entry in std::fs::read_dir(scenario_folder()).unwrap() {
        let path = entry.unwrap().path();
        reeddock_scale_test::scenario::Scenario::read(&path).unwrap();
    }
}

/// Kills the process when the test ends, also after a failed assertion.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn children(parent: i32) -> BTreeSet<i32> {
    let stats = all_processes().unwrap().filter_map(|p| p.ok()?.stat().ok());
    stats.filter(|stat| stat.ppid == parent).map(|stat| stat.pid).collect()
}

#[test]
fn interrupted_run_ends_its_child_processes() {
    for signal in [Signal::INT, Signal::TERM] {
        let mut command = Command::new(PROGRAM);
        command.arg(scenario_folder().join("small.toml")).args(["--forwarder", FORWARDER]);
        let mut running = KillOnDrop(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap());
        let pid = running.0.id() as i32;
        let deadline = Instant::now() + Duration::from_secs(10);
        while children(pid).len() < 2 {
            assert!(Instant::now() < deadline, "the forwarders were not started within 10 s");
            std::thread::sleep(Duration::from_millis(5));
        }
        let started = children(pid);
        kill_process(Pid::from_raw(pid).unwrap(), signal).unwrap();
        assert_eq!(running.0.wait().unwrap().code(), Some(2));
        // Killed processes end asynchronously.
        let alive = |child: &i32| Process::new(*child).is_ok_and(|p| p.stat().is_ok_and(|s| s.state != 'Z'));
        while started.iter().any(alive) {
            assert!(
                Instant::now() < deadline,
                "processes still running after 10 s, of those started: {started:?}"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

//! The program: bad input, and what it leaves behind.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use procfs::process::{all_processes, Process};
use rustix::process::{kill_process, Pid, Signal};

const PROGRAM: &str = env!("CARGO_BIN_EXE_reeddock-scale-test");
const FORWARDER: &str = env!("CARGO_BIN_EXE_reeddock-scale-test-forwarder");

fn scenarios() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/scale")
}

fn small() -> String {
    std::fs::read_to_string(scenarios().join("small.toml")).unwrap()
}

fn line(output: &Output) -> String {
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(output.stdout.is_empty());
    text
}

/// What the program says of a scenario in which something stands for something else.
fn rejection(arguments: &[&str], from: &str, to: &str) -> String {
    let text = small();
    assert!(text.contains(from), "{from}");
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("bad.toml");
    std::fs::write(&file, text.replacen(from, to, 1)).unwrap();
    let output = Command::new(PROGRAM).args(arguments).arg(&file).args(["--forwarder", FORWARDER]).output();
    line(&output.unwrap())
}

#[test]
fn bad_scenarios_are_refused_in_a_line_with_place_and_expectation() {
    for (from, to, expected) in [
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
        let from_real =
            if to.starts_with("memory_mb") || to.starts_with("descriptors") { "real = 2" } else { "" };
        // Many real forwarders, so that they go beyond every machine and limit.
        let text = if from_real.is_empty() { rejection(&[], from, to) } else { rejection_of_many(from, to) };
        assert!(expected.iter().all(|expected| text.contains(expected)), "{to}: {text}");
    }
}

fn rejection_of_many(from: &str, to: &str) -> String {
    let text = small().replacen("real = 2", "real = 100", 1).replacen(from, to, 1);
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("bad.toml");
    // Memory is checked first.
    let text = if to.starts_with("descriptors") {
        text.replacen("memory_mb = 64", "memory_mb = 8", 1)
    } else {
        text
    };
    std::fs::write(&file, text).unwrap();
    line(&Command::new(PROGRAM).arg(&file).args(["--forwarder", FORWARDER]).output().unwrap())
}

#[test]
fn missing_files_and_programs_are_errors() {
    let run = |arguments: &[&str]| line(&Command::new(PROGRAM).args(arguments).output().unwrap());
    assert!(run(&["no-such.toml"]).contains("no-such.toml: expected a scenario file"));
    let file = scenarios().join("small.toml");
    let text = run(&[file.to_str().unwrap(), "--forwarder", "/no/such/program"]);
    assert!(
        text.contains("--forwarder: expected the built program reeddock") && text.contains("/no/such"),
        "{text}"
    );
    assert!(run(&[]).contains("<SCENARIO>") && run(&["fit"]).contains("<SCENARIO>"));
    assert!(run(&["x.toml", "--quick"]).contains("unexpected argument '--quick'"));
}

#[test]
fn a_run_over_its_limit_is_aborted() {
    let message = rejection(&[], "limit_s = 60", "limit_s = 0.5");
    assert!(message.contains("the run: not over within limit_s = 0.5"), "{message}");
}

#[test]
fn a_fit_needs_four_sizes() {
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
fn all_scenarios_of_the_folder_can_be_read() {
    for entry in std::fs::read_dir(scenarios()).unwrap() {
        let path = entry.unwrap().path();
        reeddock_scale_test::scenario::Scenario::read(&path).unwrap();
    }
}

/// Ended with the test, however that goes.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn children(of: i32) -> BTreeSet<i32> {
    let stats = all_processes().unwrap().filter_map(|p| p.ok()?.stat().ok());
    stats.filter(|stat| stat.ppid == of).map(|stat| stat.pid).collect()
}

#[test]
fn a_run_that_is_interrupted_ends_its_processes() {
    for signal in [Signal::INT, Signal::TERM] {
        let mut command = Command::new(PROGRAM);
        command.arg(scenarios().join("small.toml")).args(["--forwarder", FORWARDER]);
        let mut running = Running(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap());
        let pid = running.0.id() as i32;
        let until = Instant::now() + Duration::from_secs(10);
        while children(pid).len() < 2 {
            assert!(Instant::now() < until, "its forwarders never came");
            std::thread::sleep(Duration::from_millis(5));
        }
        let started = children(pid);
        kill_process(Pid::from_raw(pid).unwrap(), signal).unwrap();
        assert_eq!(running.0.wait().unwrap().code(), Some(2));
        // One that is killed may take a moment to go.
        let alive = |child: &i32| Process::new(*child).is_ok_and(|p| p.stat().is_ok_and(|s| s.state != 'Z'));
        while started.iter().any(alive) {
            assert!(Instant::now() < until, "{started:?}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

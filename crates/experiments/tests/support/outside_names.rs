//! Collects names that a program shows outside: the keys of a JSON value, and options and subcommands of a help text.

use std::collections::BTreeSet;

use serde_json::Value;

/// Returns the paths of all keys in a value; `[]` stands for the items of a list.
pub fn key_paths(value: &Value) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    collect_key_paths(value, "", &mut paths);
    paths
}

fn collect_key_paths(value: &Value, prefix: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                let path = if prefix.is_empty() { key.clone() } else { format!("{prefix}.{key}") };
                collect_key_paths(field, &path, paths);
                paths.insert(path);
            }
        }
        Value::Array(items) => {
            items.iter().for_each(|item| collect_key_paths(item, &format!("{prefix}[]"), paths));
        }
        _ => {}
    }
}

/// Returns the names of the options, without their values, or of the subcommands below a heading of a help text.
pub fn help_names(help: &str, heading: &str) -> Vec<String> {
    let lines_below = help.lines().skip_while(|line| *line != heading).skip(1);
    let lines = lines_below.take_while(|line| line.is_empty() || line.starts_with(' '));
    let name = |line: &str| match heading {
        "Options:" => {
            let long = line.trim_start().starts_with('-').then(|| line.find("--")).flatten()?;
            line[long..].split_whitespace().next().map(str::to_owned)
        }
        _ => line.split_whitespace().next().map(str::to_owned),
    };
    let mut names: Vec<String> = lines.filter_map(name).collect();
    names.sort_unstable();
    names
}

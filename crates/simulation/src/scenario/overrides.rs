//! Single values put in the place of those of a scenario file, as `--set` on the command line does.

/// Puts one value into a table that was read, by a path such as `traffic.load` or `kind.0.told_waits`.
pub(super) fn apply_override(table: &mut toml::Table, path: &str, value: &str) -> Result<(), String> {
    let value = parse_value(value)?;
    let mut steps = path.split('.');
    let first = steps.next().unwrap_or_default();
    let mut at = table.entry(first).or_insert_with(empty_table);
    for step in steps {
        let next = match at {
            toml::Value::Table(table) => Some(table.entry(step).or_insert_with(empty_table)),
            toml::Value::Array(array) => step.parse::<usize>().ok().and_then(|index| array.get_mut(index)),
            _ => None,
        };
        let missing = || format!("{path}: nothing at {step:?}, expected keys and numbers, as kind.0.batch");
        at = next.ok_or_else(missing)?;
    }
    *at = value;
    Ok(())
}

fn empty_table() -> toml::Value {
    toml::Value::Table(toml::Table::new())
}

/// Reads a TOML value; what is none is meant as text.
fn parse_value(value: &str) -> Result<toml::Value, String> {
    let read = |text: &str| toml::from_str::<toml::Table>(&format!("value = {text}"));
    let table =
        read(value).or_else(|_| read(&format!("{value:?}"))).map_err(|error| error.message().to_owned())?;
    table.into_iter().next().map(|(_, value)| value).ok_or_else(|| "no value".to_owned())
}

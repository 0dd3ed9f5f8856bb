//! Reads JSON objects field by field. An error is one line that names the field.

use serde_json::Value;

/// A parsed value, or a message that names the field that is missing or invalid.
pub type ParseResult<T> = Result<T, String>;

/// Returns a field that must be present and not null.
pub fn field<'a>(of: &'a Value, name: &str) -> ParseResult<&'a Value> {
    of.get(name).filter(|v| !v.is_null()).ok_or_else(|| format!("field '{name}' is missing"))
}

/// The message for a field that is not of the expected kind.
pub fn invalid(name: &str, expected: &str) -> String {
    format!("field '{name}' is not {expected}")
}

/// A finite number.
pub fn number(of: &Value, name: &str) -> ParseResult<f64> {
    field(of, name)?.as_f64().filter(|n| n.is_finite()).ok_or_else(|| invalid(name, "a number"))
}

/// A non-negative integer.
pub fn integer(of: &Value, name: &str) -> ParseResult<u64> {
    field(of, name)?.as_u64().ok_or_else(|| invalid(name, "a whole number"))
}

/// A string.
pub fn text<'a>(of: &'a Value, name: &str) -> ParseResult<&'a str> {
    field(of, name)?.as_str().ok_or_else(|| invalid(name, "a string"))
}

/// A boolean.
pub fn boolean(of: &Value, name: &str) -> ParseResult<bool> {
    field(of, name)?.as_bool().ok_or_else(|| invalid(name, "true or false"))
}

/// An array.
pub fn array<'a>(of: &'a Value, name: &str) -> ParseResult<&'a Vec<Value>> {
    field(of, name)?.as_array().ok_or_else(|| invalid(name, "an array"))
}

/// A duration or time in milliseconds, converted to seconds.
pub fn seconds(of: &Value, name: &str) -> ParseResult<f64> {
    Ok(number(of, name)? / 1000.0)
}

/// An array of strings.
pub fn text_array(of: &Value, name: &str) -> ParseResult<Vec<String>> {
    let texts = array(of, name)?.iter().map(|v| v.as_str().map(str::to_owned));
    texts.collect::<Option<_>>().ok_or_else(|| invalid(name, "an array of strings"))
}

/// The index within `names` of the string in this field.
pub fn index_in(of: &Value, name: &str, names: &[String]) -> ParseResult<usize> {
    let value = text(of, name)?;
    names.iter().position(|n| n == value).ok_or_else(|| format!("field '{name}' names unknown '{value}'"))
}

/// Reads a field with `read` unless it is absent or null.
pub fn optional<'a, T>(
    of: &'a Value,
    name: &str,
    read: impl Fn(&'a Value, &str) -> ParseResult<T>,
) -> ParseResult<Option<T>> {
    match of.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(_) => read(of, name).map(Some),
    }
}

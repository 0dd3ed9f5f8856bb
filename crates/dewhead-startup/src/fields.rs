//! Reading JSON field by field; what is wrong is said in one line that names the field.

use serde_json::Value;

pub type ParseResult<T> = Result<T, String>;

pub fn field<'a>(of: &'a Value, name: &str) -> ParseResult<&'a Value> {
    of.get(name).filter(|v| !v.is_null()).ok_or_else(|| format!("field '{name}' is missing"))
}

pub fn invalid(name: &str, wanted: &str) -> String {
    format!("field '{name}' is not {wanted}")
}

pub fn number(of: &Value, name: &str) -> ParseResult<f64> {
    field(of, name)?.as_f64().filter(|n| n.is_finite()).ok_or_else(|| invalid(name, "a number"))
}

pub fn integer(of: &Value, name: &str) -> ParseResult<u64> {
    field(of, name)?.as_u64().ok_or_else(|| invalid(name, "a whole number"))
}

pub fn text<'a>(of: &'a Value, name: &str) -> ParseResult<&'a str> {
    field(of, name)?.as_str().ok_or_else(|| invalid(name, "a text"))
}

pub fn boolean(of: &Value, name: &str) -> ParseResult<bool> {
    field(of, name)?.as_bool().ok_or_else(|| invalid(name, "true or false"))
}

pub fn array<'a>(of: &'a Value, name: &str) -> ParseResult<&'a Vec<Value>> {
    field(of, name)?.as_array().ok_or_else(|| invalid(name, "an array"))
}

/// Told in milliseconds, kept in seconds.
pub fn seconds(of: &Value, name: &str) -> ParseResult<f64> {
    Ok(number(of, name)? / 1000.0)
}

pub fn text_array(of: &Value, name: &str) -> ParseResult<Vec<String>> {
    let texts = array(of, name)?.iter().map(|v| v.as_str().map(str::to_owned));
    texts.collect::<Option<_>>().ok_or_else(|| invalid(name, "an array of texts"))
}

pub fn index_in(of: &Value, name: &str, names: &[String]) -> ParseResult<usize> {
    let wanted = text(of, name)?;
    names.iter().position(|n| n == wanted).ok_or_else(|| format!("field '{name}' names unknown '{wanted}'"))
}

/// A field that may be absent or null.
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

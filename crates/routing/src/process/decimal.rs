//! Decimal numbers in text.

/// Digits after the decimal point that count; further ones are dropped.
const DECIMALS: usize = 3;

/// Parses digits with at most one decimal point, in thousandths. A number that is too large is the largest one.
pub fn parse_thousandths(text: &str) -> Option<u64> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    let has_digits = !whole.is_empty() || !fraction.is_empty();
    let are_digits = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
    if !has_digits || !are_digits(whole) || !are_digits(fraction) {
        return None;
    }
    let whole = if whole.is_empty() { 0 } else { whole.parse().unwrap_or(u64::MAX) };
    let kept = &fraction[..fraction.len().min(DECIMALS)];
    let thousandths: u64 = format!("{kept:0<DECIMALS$}").parse().unwrap_or_default();
    Some(whole.saturating_mul(1_000).saturating_add(thousandths))
}

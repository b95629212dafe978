//! Random courses of two and more eras: knowledge never goes back, what has left stays so, and all agree after the last one.

use crate::course::Course;
use crate::fleet::Fleet;
use quickcheck::QuickCheck;

/// Courses in a run of all tests.
const COURSES: u64 = 1_500;
/// The same by hand.
const COURSES_LONG: u64 = 100_000;

#[test]
fn no_course_of_eras_leads_a_gateway_back_or_apart() {
    let is_long = std::env::var_os("SORRELLOCK_FUZZ_LONG").is_some();
    let courses = if is_long { COURSES_LONG } else { COURSES };
    fn holds(course: Course) -> Result<(), String> {
        Fleet::play(&course)
    }

    let mut check = QuickCheck::new().tests(courses).max_tests(courses);
    check.quickcheck(holds as fn(Course) -> Result<(), String>);
}

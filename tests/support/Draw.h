/// \file
/// Generators for the property tests.
#ifndef HAVENSTAIR_TESTS_SUPPORT_DRAW_H
#define HAVENSTAIR_TESTS_SUPPORT_DRAW_H

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace havenstair {

/// A number from \p Least to below \p Below. rapidcheck's own range grows with
/// the size of the case, so that early cases would hardly vary.
template <typename T> rc::Gen<T> drawn(T Least, T Below) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(Least, Below));
}

} // namespace havenstair

#endif

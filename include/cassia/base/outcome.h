/// Return values that are either a value or a layer's own typed error.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <string>

namespace cassia {

/// Either a T or an E. Reading the side that isn't there ends the process: it is a programming
/// error, and nothing here throws.
template <class T, class E>
using outcome =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, E, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using BOOST_OUTCOME_V2_NAMESPACE::failure;
using BOOST_OUTCOME_V2_NAMESPACE::success;

/// An error of one layer: what kind it is, and one line for whoever reads the log.
template <class Code>
struct layer_error {
    Code code;
    std::string text;
};

} // namespace cassia

// The result type that functions return across module borders in place of exceptions.
#pragma once

#include "global/error.h"

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <utility>

namespace cyclamenlatch {

// Asking a failed result for its value ends the process: check it first.
template<typename Value>
using Result = boost::outcome_v2::basic_result<Value, Error, boost::outcome_v2::policy::terminate>;

inline auto success()
{
    return boost::outcome_v2::success();
}

inline auto failure(ErrorKind kind, std::string message, std::string remedy)
{
    return boost::outcome_v2::failure(Error{kind, std::move(message), std::move(remedy)});
}

} // namespace cyclamenlatch

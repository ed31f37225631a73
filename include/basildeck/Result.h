#pragma once

#include "basildeck/ErrorKind.h"

#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace basildeck {

// An error with the sentence that says what was wrong.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
};

// A value or an error.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

// Builds the failed side of any Result.
inline auto failure(ErrorKind kind, std::string detail)
{
    return boost::outcome_v2::failure(Error{ kind, std::move(detail) });
}

// The successful Result without a value.
inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace basildeck

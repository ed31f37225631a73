#pragma once

#include "basildeck/ErrorKind.h"

#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace basildeck {

// An error kind with a human-readable description.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
};

// Holds either a value of type T or an Error.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

// Returns a failure that converts to any Result<T>.
inline auto failure(ErrorKind kind, std::string detail)
{
    return boost::outcome_v2::failure(Error{ kind, std::move(detail) });
}

// Returns a success that converts to Result<void>.
inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace basildeck

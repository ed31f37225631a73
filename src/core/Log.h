#pragma once

#include <glog/logging.h>

// Log statements carry the fixed prefix of the part that writes them. Keys and tokens are never
// passed to a log statement.
#define BASILDECK_INFO(part) LOG(INFO) << (part) << ": "
#define BASILDECK_WARNING(part) LOG(WARNING) << (part) << ": "
#define BASILDECK_ERROR(part) LOG(ERROR) << (part) << ": "

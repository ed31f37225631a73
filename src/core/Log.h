#pragma once

#include <glog/logging.h>

// Each log line starts with the name of the component that writes it. Never log keys or tokens.
#define BASILDECK_INFO(component) LOG(INFO) << (component) << ": "
#define BASILDECK_WARNING(component) LOG(WARNING) << (component) << ": "
#define BASILDECK_ERROR(component) LOG(ERROR) << (component) << ": "

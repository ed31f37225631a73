#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <glog/logging.h>

#include <csignal>
#include <iostream>

int main(int argumentCount, char **argumentValues)
{
    std::signal(SIGPIPE, SIG_IGN);
    FLAGS_minloglevel = google::GLOG_FATAL;
    google::InitGoogleLogging("basildeck-tests");
    doctest::Context context(argumentCount, argumentValues);
    const int status = context.run();
    const doctest::ContextOptions *options = doctest::getContextOptions();
    static_cast<void>(options);
    return status;
}

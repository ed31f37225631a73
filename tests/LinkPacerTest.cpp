#include "decide/LinkPacer.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace basildeck;

namespace {

constexpr double cap = 35e6; // bytes per second

struct Reader
{
    explicit Reader(std::uint64_t seed)
        : pacer(cap, seed << 32, Time{})
    {}
    LinkPacer pacer;
    bool busy = false;
};

} // namespace

TEST_CASE("bytes over a link stay within its cap in any second, whichever VM reads them")
{
    constexpr unsigned seed = 3;
    MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    std::vector<Reader> readers;
    for (std::uint64_t i = 0; i < 3; ++i)
        readers.emplace_back(i + 1);
    for (std::size_t i = 0; i < readers.size(); ++i) {
        std::vector<std::string> others;
        for (std::size_t other = 0; other < readers.size(); ++other) {
            if (other != i)
                others.push_back(std::to_string(other));
        }
        readers[i].pacer.share().setFraction(1.0 / 3, Time{});
        readers[i].pacer.share().setHolders(others);
    }
    struct Message
    {
        Time at;
        std::size_t from;
        std::size_t to;
        TokenLeaseRequest request;
        TokenLease lease;
        bool isRequest;
    };
    std::vector<Message> inTransit;
    std::deque<std::pair<Time, double>> window;
    double inWindow = 0;
    double peak = 0;
    double total = 0;
    for (Time now = Time{} + seconds(3); now < Time{} + seconds(23); now += milliseconds(1)) {
        std::vector<Message> arrived;
        std::erase_if(inTransit, [&](const Message &message) {
            if (message.at > now)
                return false;
            arrived.push_back(message);
            return true;
        });
        for (const Message &message : arrived) {
            TokenBucketShare &share = readers[message.to].pacer.share();
            if (!message.isRequest)
                share.acceptLease(std::to_string(message.from), message.lease, now);
            else
                inTransit.push_back(
                        { now + milliseconds(28),
                          message.to,
                          message.from,
                          {},
                          share.grantLease(std::to_string(message.from), message.request, now),
                          false });
        }
        // First only one VM reads, then all of them.
        for (std::size_t i = 0; i < readers.size(); ++i) {
            LinkPacer &pacer = readers[i].pacer;
            const bool busy = i == 0 || now > Time{} + seconds(13);
            bool isWaiting = false;
            for (int read = 0; busy && read < 40; ++read) {
                isWaiting = !pacer.reserveRead(now);
                if (isWaiting)
                    break;
                const auto bytes = static_cast<std::size_t>(1 + random() % 65'536);
                pacer.recordRead(bytes, true, now);
                window.emplace_back(now, bytes);
                inWindow += static_cast<double>(bytes);
                total += static_cast<double>(bytes);
            }

            for (const auto &outgoing :
                 pacer.share().dueRequests(pacer.tokensNeeded(isWaiting ? 1 : 0), now))
                inTransit.push_back({ now + milliseconds(28),
                                      i,
                                      std::stoul(outgoing.holder),
                                      outgoing.request,
                                      {},
                                      true });
        }
        while (!window.empty() && now - window.front().first >= seconds(1)) {
            inWindow -= window.front().second;
            window.pop_front();
        }
        peak = std::max(peak, inWindow);
    }
    CHECK(peak <= cap);
    // VMs borrow tokens: the throughput exceeds a third of the cap, which is all that one VM owns.
    CHECK(total > 0.5 * cap * 20);
}

#include "decide/LinkPacer.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace basildeck;

namespace {

constexpr double cap = 35e6; // bytes per second: a narrow link

struct Reader
{
    explicit Reader(std::uint64_t seed)
        : pacer(cap, seed << 32, Time{})
    {}
    LinkPacer pacer;
    bool busy = false;
};

} // namespace

TEST_CASE("bytes over a link stay below its cap in any second, whichever VM reads them")
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
        TokenLeaseRequest ask;
        TokenLease grant;
        bool isAsk;
    };
    std::vector<Message> flying;
    std::deque<std::pair<Time, double>> window;
    double inWindow = 0;
    double most = 0;
    double total = 0;
    for (Time now = Time{} + seconds(3); now < Time{} + seconds(23); now += milliseconds(1)) {
        std::vector<Message> arrived;
        std::erase_if(flying, [&](const Message &message) {
            if (message.at > now)
                return false;
            arrived.push_back(message);
            return true;
        });
        for (const Message &message : arrived) {
            TokenBucketShare &share = readers[message.to].pacer.share();
            if (!message.isAsk)
                share.acceptLease(std::to_string(message.from), message.grant, now);
            else
                flying.push_back({ now + milliseconds(28),
                                   message.to,
                                   message.from,
                                   {},
                                   share.grantLease(std::to_string(message.from), message.ask, now),
                                   false });
        }
        // One VM alone reads, then all of them.
        for (std::size_t i = 0; i < readers.size(); ++i) {
            LinkPacer &pacer = readers[i].pacer;
            const bool busy = i == 0 || now > Time{} + seconds(13);
            bool waits = false;
            for (int round = 0; busy && round < 40; ++round) {
                waits = !pacer.reserveRead(now);
                if (waits)
                    break;
                const auto bytes = static_cast<std::size_t>(1 + random() % 65'536);
                pacer.recordRead(bytes, true, now);
                window.emplace_back(now, bytes);
                inWindow += static_cast<double>(bytes);
                total += static_cast<double>(bytes);
            }

            for (const auto &ask : pacer.share().dueRequests(pacer.tokensNeeded(waits ? 1 : 0), now))
                flying.push_back({ now + milliseconds(28),
                                   i,
                                   std::stoul(ask.holder),
                                   ask.request,
                                   {},
                                   true });
        }
        while (!window.empty() && now - window.front().first >= seconds(1)) {
            inWindow -= window.front().second;
            window.pop_front();
        }
        most = std::max(most, inWindow);
    }
    CHECK(most <= cap);
    // The link is also used: more than a third of its cap, which is all that one VM owns.
    CHECK(total > 0.5 * cap * 20);
}

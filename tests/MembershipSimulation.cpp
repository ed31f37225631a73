#include "FakeNetwork.h"
#include "Simulation.h"
#include "decide/Membership.h"

#include <doctest/doctest.h>

#include <optional>
#include <variant>

namespace basildeck::test {

namespace {

// Simulation of VMs that run the membership protocol.
//
// Commands: kill VM, restart VM, pause VM TIME, cut VM, heal VM, leave VM.
// Expectations: detected-within TIME (each kill, by every VM), false-deaths COUNT, agree,
// messages-per-vm below RATE.
class MembershipSimulation final : public Simulation
{
public:
    explicit MembershipSimulation(const Line &options)
        : m_network(static_cast<unsigned>(options.option("seed", 1)))
    {
        m_network.lossProbability = options.option("loss", 0);
        m_network.duplicateProbability = options.option("repeat", 0);
        const int count = static_cast<int>(options.option("vms", 7));
        for (int i = 1; i <= count; ++i)
            m_vms["vm" + std::to_string(i)];
        for (auto &[name, vm] : m_vms)
            start(name, Time{});
    }

    void command(const Line &line, Time now) override
    {
        const std::string &verb = line.word(0);
        const std::string &name = line.word(1);
        Vm &vm = m_vms[name];
        if (verb == "kill") {
            vm.membership.reset();
            m_killed[name] = now;
        } else if (verb == "restart") {
            m_killed.erase(name);
            start(name, now);
        } else if (verb == "pause") {
            vm.pausedUntil
                    = now + milliseconds(static_cast<long>(parseQuantity(line.word(2)) * 1000));
        } else if (verb == "cut") {
            m_network.partition(name);
            m_everPartitioned.insert(name);
        } else if (verb == "heal") {
            m_network.heal(name);
        } else if (verb == "leave") {
            vm.membership->leave();
        } else {
            FAIL("unknown command " << line.text);
        }
    }

    void step(Time now) override
    {
        deliver(now);
        for (auto &[name, vm] : m_vms) {
            if (!isRunning(vm, now))
                continue;
            const Membership::Probes probes = vm.membership->tick(now);
            for (const auto &ping : probes.pings)
                send(name, ping.vm, ping.ping, now);
            for (const auto &request : probes.requests)
                send(name, request.vm, request.request, now);
        }
        observe(now);
        m_last = now;
    }

    void check(const Line &expectation) override
    {
        const std::string &what = expectation.word(0);
        if (what == "detected-within") {
            const double limit = parseQuantity(expectation.word(1));
            REQUIRE(!m_detected.empty());
            for (const auto &[name, took] : m_detected)
                CHECK_MESSAGE(took <= limit, name << " after " << took << " s");
            for (const auto &[name, at] : m_killed)
                CHECK_MESSAGE(m_detected.contains(name), name << " was never found dead");
        } else if (what == "false-deaths") {
            CHECK(static_cast<double>(m_falseDeaths.size()) == parseQuantity(expectation.word(1)));
        } else if (what == "agree") {
            checkAgreement();
        } else if (what == "messages-per-vm") {
            const double perVm = static_cast<double>(m_messages) / toSeconds(m_last - Time{})
                                 / static_cast<double>(m_vms.size());
            CHECK(perVm <= parseQuantity(expectation.word(2)));
        } else {
            FAIL("unknown expectation");
        }
    }

private:
    struct Vm
    {
        std::unique_ptr<Membership> membership; // null while the process is killed
        Time pausedUntil;
    };
    struct Message
    {
        std::uint64_t incarnation;
        std::uint64_t digest;
        std::vector<Member> updates;
        std::variant<Ping, Ack, PingRequest, IndirectAck> body;
        std::string onBehalfOf; // VM that requested an indirect ping; also in its Ack
        std::uint64_t requesterSequence = 0;
    };

    static bool isRunning(const Vm &vm, Time now) { return vm.membership && vm.pausedUntil <= now; }

    void start(const std::string &name, Time now)
    {
        Member self;
        self.vm = name;
        self.incarnation = ++m_starts * 1000;
        m_vms[name].membership = std::make_unique<Membership>(self, m_starts);
        for (const auto &[other, vm] : m_vms) {
            if (other == name || !vm.membership)
                continue;
            for (const Member &member : vm.membership->members())
                m_vms[name].membership->applyUpdate(member, now);
            break;
        }
    }

    template <typename Body>
    void send(const std::string &from, const std::string &to, Body body, Time now,
              const std::string &onBehalfOf = "", std::uint64_t requesterSequence = 0)
    {
        if (!m_vms.contains(to) || !m_vms[from].membership)
            return;
        Membership &sender = *m_vms[from].membership;
        ++m_messages;
        Message message{
            sender.self().incarnation, sender.digest(), sender.takeUpdates(to), body, onBehalfOf,
            requesterSequence
        };
        m_network.send(from, to, message, now);
    }

    void deliver(Time now)
    {
        const auto arrived = m_network.arrived(
                now, [&](const std::string &name) { return m_vms[name].pausedUntil <= now; });
        for (const auto &delivery : arrived) {
            if (!m_vms[delivery.to].membership)
                continue;
            Membership &receiver = *m_vms[delivery.to].membership;
            const Message &message = delivery.message;
            for (const Member &member : message.updates)
                receiver.applyUpdate(member, now);
            receiver.onMessageFrom(delivery.from, message.incarnation, now);
            const auto &other = m_vms[delivery.from].membership;
            if (receiver.needsFullSync(message.digest, now) && other) {
                for (const Member &member : other->members())
                    receiver.applyUpdate(member, now);
            }
            if (const auto *ping = std::get_if<Ping>(&message.body)) {
                send(delivery.to, delivery.from, Ack{ ping->sequence }, now, message.onBehalfOf,
                     message.requesterSequence);
            } else if (const auto *ack = std::get_if<Ack>(&message.body)) {
                if (message.onBehalfOf.empty())
                    receiver.acknowledged(delivery.from, ack->sequence, now);
                else
                    send(delivery.to, message.onBehalfOf,
                         IndirectAck{ message.requesterSequence, delivery.from }, now);
            } else if (const auto *request = std::get_if<PingRequest>(&message.body)) {
                send(delivery.to, request->target, Ping{ 0 }, now, delivery.from,
                     request->sequence);
            } else if (const auto *indirect = std::get_if<IndirectAck>(&message.body)) {
                receiver.acknowledged(indirect->target, indirect->sequence, now);
            }
        }
    }

    // Records when the last of the other VMs detected each killed VM, and false detections.
    void observe(Time now)
    {
        for (const auto &[name, killedAt] : m_killed) {
            if (m_detected.contains(name))
                continue;
            bool detectedByAll = true;
            for (const auto &[other, vm] : m_vms) {
                if (!vm.membership || other == name)
                    continue;
                const Member *member = vm.membership->find(name);
                detectedByAll = detectedByAll && (member == nullptr || !member->isServing());
            }
            if (detectedByAll)
                m_detected[name] = toSeconds(now - killedAt);
        }
        for (const auto &[name, vm] : m_vms) {
            if (!vm.membership)
                continue;
            for (const Member &member : vm.membership->members()) {
                const bool isFalse
                        = member.state == MemberState::Dead && !m_killed.contains(member.vm)
                          && !m_everPartitioned.contains(member.vm)
                          && m_everPartitioned.count(name) == 0
                          && m_vms[member.vm].membership->self().incarnation <= member.incarnation;
                if (isFalse)
                    m_falseDeaths.insert(member.vm);
            }
        }
    }

    void checkAgreement()
    {
        for (const auto &[name, vm] : m_vms) {
            if (!vm.membership)
                continue;
            for (const auto &[other, otherVm] : m_vms) {
                const Member *member = vm.membership->find(other);
                const bool isAlive = otherVm.membership != nullptr;
                const bool leaving
                        = isAlive && otherVm.membership->self().state == MemberState::Leaving;
                const bool isListed = member != nullptr && member->isServing();
                CHECK_MESSAGE(isListed == (isAlive && !leaving), name << " about " << other);
            }
        }
    }

    std::map<std::string, Vm> m_vms;
    FakeNetwork<Message> m_network;
    std::map<std::string, Time> m_killed;
    std::map<std::string, double> m_detected;
    std::set<std::string> m_falseDeaths;
    std::set<std::string> m_everPartitioned;
    std::uint64_t m_starts = 0;
    std::uint64_t m_messages = 0;
    Time m_last;
};

} // namespace

std::unique_ptr<Simulation> makeMembershipSimulation(const Line &options)
{
    return std::make_unique<MembershipSimulation>(options);
}

} // namespace basildeck::test

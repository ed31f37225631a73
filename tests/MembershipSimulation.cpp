#include "FakeNetwork.h"
#include "Simulation.h"
#include "decide/Membership.h"

#include <doctest/doctest.h>

#include <optional>
#include <variant>

namespace basildeck::test {

namespace {

// Several VMs that find out which of them live.
//
// Commands: kill VM, restart VM, pause VM TIME, cut VM, heal VM, leave VM.
// Expectations: detected-within TIME (each kill, at every VM), false-deaths COUNT, agree,
// messages-per-vm below RATE.
class MembershipSimulation final : public Simulation
{
public:
    explicit MembershipSimulation(const Line &options)
        : m_network(static_cast<unsigned>(options.option("seed", 1)))
    {
        m_network.loss = options.option("loss", 0);
        m_network.repeat = options.option("repeat", 0);
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
            m_network.cut(name);
            m_wasCut.insert(name);
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
            if (!listens(vm, now))
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
        std::unique_ptr<Membership> membership; // null while the VM is dead
        Time pausedUntil;
    };
    struct Message
    {
        std::uint64_t incarnation;
        std::uint64_t digest;
        std::vector<Member> updates;
        std::variant<Ping, Ack, PingRequest, IndirectAck> body;
        std::string onBehalfOf; // of a ping or its answer
        std::uint64_t askerSequence = 0;
    };

    static bool listens(const Vm &vm, Time now) { return vm.membership && vm.pausedUntil <= now; }

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
                m_vms[name].membership->update(member, now);
            break;
        }
    }

    template <typename Body>
    void send(const std::string &from, const std::string &to, Body body, Time now,
              const std::string &onBehalfOf = "", std::uint64_t askerSequence = 0)
    {
        if (!m_vms.contains(to) || !m_vms[from].membership)
            return;
        Membership &sender = *m_vms[from].membership;
        ++m_messages;
        Message message{ sender.self().incarnation,
                         sender.digest(),
                         sender.takeUpdates(to),
                         body,
                         onBehalfOf,
                         askerSequence };
        m_network.send(from, to, message, now);
    }

    void deliver(Time now)
    {
        const auto arrived = m_network.arrived(
                now, [&](const std::string &name) { return m_vms[name].pausedUntil <= now; });
        for (const auto &delivery : arrived) {
            if (!m_vms[delivery.to].membership)
                continue;
            Membership &here = *m_vms[delivery.to].membership;
            const Message &message = delivery.message;
            for (const Member &member : message.updates)
                here.update(member, now);
            here.heardFrom(delivery.from, message.incarnation, now);
            const auto &other = m_vms[delivery.from].membership;
            if (here.wantsList(message.digest, now) && other) {
                for (const Member &member : other->members())
                    here.update(member, now);
            }
            if (const auto *ping = std::get_if<Ping>(&message.body)) {
                send(delivery.to, delivery.from, Ack{ ping->sequence }, now, message.onBehalfOf,
                     message.askerSequence);
            } else if (const auto *ack = std::get_if<Ack>(&message.body)) {
                if (message.onBehalfOf.empty())
                    here.acknowledged(delivery.from, ack->sequence, now);
                else
                    send(delivery.to, message.onBehalfOf,
                         IndirectAck{ message.askerSequence, delivery.from }, now);
            } else if (const auto *request = std::get_if<PingRequest>(&message.body)) {
                send(delivery.to, request->target, Ping{ 0 }, now, delivery.from,
                     request->sequence);
            } else if (const auto *indirect = std::get_if<IndirectAck>(&message.body)) {
                here.acknowledged(indirect->target, indirect->sequence, now);
            }
        }
    }

    // Notes when each killed VM was found dead by the last of the others, and wrong deaths.
    void observe(Time now)
    {
        for (const auto &[name, killedAt] : m_killed) {
            if (m_detected.contains(name))
                continue;
            bool everywhere = true;
            for (const auto &[other, vm] : m_vms) {
                if (!vm.membership || other == name)
                    continue;
                const Member *member = vm.membership->find(name);
                everywhere = everywhere && (member == nullptr || !member->serves());
            }
            if (everywhere)
                m_detected[name] = toSeconds(now - killedAt);
        }
        for (const auto &[name, vm] : m_vms) {
            if (!vm.membership)
                continue;
            for (const Member &member : vm.membership->members()) {
                const bool wrong
                        = member.state == MemberState::Dead && !m_killed.contains(member.vm)
                          && !m_wasCut.contains(member.vm) && m_wasCut.count(name) == 0
                          && m_vms[member.vm].membership->self().incarnation <= member.incarnation;
                if (wrong)
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
                const bool lives = otherVm.membership != nullptr;
                const bool leaving
                        = lives && otherVm.membership->self().state == MemberState::Leaving;
                const bool believed = member != nullptr && member->serves();
                CHECK_MESSAGE(believed == (lives && !leaving), name << " about " << other);
            }
        }
    }

    std::map<std::string, Vm> m_vms;
    FakeNetwork<Message> m_network;
    std::map<std::string, Time> m_killed;
    std::map<std::string, double> m_detected;
    std::set<std::string> m_falseDeaths;
    std::set<std::string> m_wasCut;
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

#include "marjoramtally/process/customer_table.hpp"

#include <algorithm>
#include <set>

namespace marjoramtally {

namespace {

bool
IsScheme(std::string_view aText) noexcept
{
  constexpr std::string_view kScheme = "bearer";
  return std::equal(aText.begin(),
                    aText.end(),
                    kScheme.begin(),
                    kScheme.end(),
                    [](char aLetter, char aLower) {
                      return std::tolower(
                               static_cast<unsigned char>(aLetter)) == aLower;
                    });
}

} // namespace

std::vector<std::string>
CheckCustomers(const std::vector<Customer>& aCustomers)
{
  std::vector<std::string> findings;
  std::set<CustomerId> names;
  std::unordered_map<std::string_view, const Customer*> holders;
  for (const Customer& customer : aCustomers) {
    const std::string& name = customer.name_.Get();
    if (name.empty()) {
      findings.emplace_back("a customer has no name");
    } else if (!names.insert(customer.name_).second) {
      findings.push_back("customer " + name + " is listed twice");
    }
    for (const std::string& key : customer.keys_) {
      if (key.empty()) {
        findings.push_back("customer " + name + " has an empty key");
        continue;
      }
      const auto [holder, added] = holders.emplace(key, &customer);
      if (!added && holder->second != &customer) {
        findings.push_back("customers " + holder->second->name_.Get() +
                           " and " + name + " hold the same key");
      }
    }
  }
  return findings;
}

CustomerTable::CustomerTable(std::vector<Customer> aCustomers)
  : customers_(std::move(aCustomers))
{
  for (std::size_t i = 0; i < customers_.size(); ++i) {
    for (const std::string& key : customers_[i].keys_) {
      byKey_.emplace(key, i);
    }
  }
}

const Customer*
CustomerTable::Find(const std::string& aKey) const
{
  const auto found = byKey_.find(aKey);
  return found == byKey_.end() ? nullptr : &customers_[found->second];
}

std::string_view
BearerKey(std::string_view aAuthorization) noexcept
{
  const std::size_t space = aAuthorization.find(' ');
  if (space == std::string_view::npos ||
      !IsScheme(aAuthorization.substr(0, space))) {
    return {};
  }
  std::string_view key = aAuthorization.substr(space);
  while (key.starts_with(' ')) {
    key.remove_prefix(1);
  }
  while (key.ends_with(' ')) {
    key.remove_suffix(1);
  }
  return key;
}

KeyCheck
CheckKey(const CustomerTable& aCustomers,
         std::string_view aAuthorization,
         bool aPublic,
         Duration aAge,
         const KeyBounds& aBounds)
{
  const std::string key(BearerKey(aAuthorization));
  const Customer* customer = key.empty() ? nullptr : aCustomers.Find(key);
  if (customer != nullptr) {
    const bool current = aPublic || aAge <= aBounds.known_;
    return { current ? KeyVerdict::Granted : KeyVerdict::Uncertain,
             customer->name_ };
  }
  if (aPublic) {
    return { KeyVerdict::Granted, {} };
  }
  // A missing key is refused whatever the age: no configuration can contain it.
  const bool certain = key.empty() || aAge <= aBounds.unknown_;
  return { certain ? KeyVerdict::Refused : KeyVerdict::Uncertain, {} };
}

} // namespace marjoramtally

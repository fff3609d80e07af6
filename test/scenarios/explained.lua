-- Story: an operator asks why a job or a call went as it did, and the system remembers nothing.
fleet({ keepers = 1, entries = 2, engines = 1 })
local function explained(subject)
  local kinds = {}
  for _, name in ipairs(entries) do
    local got = operator({ to = name, path = "/v1/operator/explain?subject=" .. subject })
    for _, one in ipairs(got.json.decisions) do
      kinds[one.kind] = one.reason
    end
  end
  return kinds
end
local call = ask(complete({ prompt = "hello" }))
local why = explained(call.headers["cassia-request-id"])
expect(why.routed and why.ended, "the call's way is explained, not " .. encode(why))
local refused = ask({ path = "/v1/completions", json = { model = "model", adapter = "none" } })
expect(explained(refused.headers["cassia-request-id"]).refused, "the refusal is explained")
local id = submit({ items = many(20, "item") }).json.id
wait_ended(id, 10000)
expect(explained(id).item_leased, "the job's leases are explained")
expect(explained("engine-1").routed, "the endpoint's calls are explained")

-- Guards against a response of a service that breaks off and reaches the caller as a whole one.
fleet({ keepers = 1, entries = 1, engines = 1, services = 1, zones = 1, relayed_services = "yes" })

local request = '{"n":1,"text":"' .. string.rep("x", 200) .. '"}'
local function digest(key)
  return ask({ to = "entry-1", path = "/v1/services/records/digest", body = request,
    headers = { ["Idempotency-Key"] = key, ["Cassia-Deadline"] = "400" } })
end
local whole
eventually(5000, "the service answers", function()
  whole = digest()
  return whole.status == 200
end)
-- Behind the first line of the head, within the head, and within the body.
local broken = 0
for bytes = 17, 257, 8 do
  cut_responses("service-1", bytes)
  for _, key in ipairs({ "", "key" }) do
    local got = digest(key ~= "" and key .. bytes or nil)
    expect(got.status ~= 200 or got.body == whole.body,
      "the whole response or none behind byte " .. bytes .. ", not " .. got.status .. " " .. got.body)
    if got.status ~= 200 then broken = broken + 1 end
  end
end
expect(broken > 30, "responses broke off, " .. broken .. " times")
cut_responses("service-1", 0)
eventually(15000, "the service answers again", function() return digest().body == whole.body end)
print("broke off " .. broken .. " times")

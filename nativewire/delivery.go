package nativewire

import (
	"encoding/json"

	"github.com/zeebo/errs"

	"crocuslug/canary"
	"crocuslug/ident"
	"crocuslug/store"
	"crocuslug/unit"
)

// OrderBody is the value of the store entry of an order.
type OrderBody struct {
	Service  ident.Service
	To       ident.Build
	FinishBy unit.Duration
}

// statusBody is the value of the store entry of a status.
type statusBody struct {
	Service ident.Service
	To      ident.Build
	State   canary.State
}

func decodeOrder(e store.Entry) (canary.Order, error) {
	var b OrderBody
	if err := json.Unmarshal(e.Value, &b); err != nil {
		return canary.Order{}, errs.Wrap(err)
	}
	if b.Service == "" || b.To == "" || b.FinishBy <= 0 || e.Key != OrdersPrefix+string(b.Service) {
		return canary.Order{}, errs.New("order: want the Service of the key, To and FinishBy")
	}
	return canary.Order{Service: b.Service, To: b.To, FinishBy: b.FinishBy.Std(), Version: e.Version}, nil
}

func decodeStatus(e store.Entry) (canary.Status, error) {
	var b statusBody
	if err := json.Unmarshal(e.Value, &b); err != nil {
		return canary.Status{}, errs.Wrap(err)
	}
	known := b.State == canary.Running || b.State == canary.Done || b.State == canary.RolledBack
	if b.Service == "" || b.To == "" || !known || e.Key != StatusesPrefix+string(b.Service) {
		return canary.Status{}, errs.New("status: want the Service of the key, To and State")
	}
	return canary.Status{Service: b.Service, To: b.To, State: b.State, Version: e.Version}, nil
}

func encodeStatus(s canary.Status) ([]byte, error) {
	return json.Marshal(statusBody{s.Service, s.To, s.State})
}

package fakestorer

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/storer"
)

// Handler returns the HTTP protocol of the service.
func Handler(s *Store) http.Handler {
	e := echo.New()
	e.GET("/v1/kv/*", func(c echo.Context) error {
		item, err := s.Get(c.Request().Context(), c.Param("*"))
		return answer(c, item, err)
	})
	e.PUT("/v1/kv/*", func(c echo.Context) error { return put(c, s) })
	e.DELETE("/v1/kv/*", func(c echo.Context) error {
		expect := number(c, storer.ParamExpect)
		err := s.Delete(c.Request().Context(), c.Param("*"), storer.Revision(expect))
		return answer(c, nil, err)
	})
	e.GET("/v1/list", func(c echo.Context) error {
		items, err := s.List(c.Request().Context(), c.QueryParam(storer.ParamPrefix))
		return answer(c, items, err)
	})
	e.GET("/v1/watch/*", func(c echo.Context) error {
		wait := time.Duration(number(c, storer.ParamWaitMS)) * time.Millisecond
		after := storer.Revision(number(c, storer.ParamAfter))
		item, err := s.Watch(c.Request().Context(), c.Param("*"), after, wait)
		return answer(c, item, err)
	})
	e.POST("/v1/leases", func(c echo.Context) error {
		ttl := time.Duration(number(c, storer.ParamTTLMS)) * time.Millisecond
		id, err := s.Grant(c.Request().Context(), ttl)
		return answer(c, storer.LeaseAnswer{ID: id}, err)
	})
	e.POST("/v1/leases/:id", func(c echo.Context) error {
		return answer(c, nil, s.Renew(c.Request().Context(), leaseID(c)))
	})
	e.DELETE("/v1/leases/:id", func(c echo.Context) error {
		return answer(c, nil, s.Revoke(c.Request().Context(), leaseID(c)))
	})
	e.GET("/v1/counts", func(c echo.Context) error { return answer(c, s.Counts(), nil) })
	return e
}

func put(c echo.Context, s *Store) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, storer.MaxValueBytes)
	value, err := io.ReadAll(body)
	if err != nil {
		return c.JSON(http.StatusRequestEntityTooLarge, nil)
	}
	expect := storer.Revision(number(c, storer.ParamExpect))
	id := storer.LeaseID(number(c, storer.ParamLease))
	key := c.Param("*")
	rev, err := s.CompareAndSwap(c.Request().Context(), key, value, expect, id)
	return answer(c, storer.Item{Key: key, Revision: rev}, err)
}

func leaseID(c echo.Context) storer.LeaseID {
	n, _ := strconv.ParseUint(c.Param("id"), 10, 64)
	return storer.LeaseID(n)
}

func number(c echo.Context, param string) uint64 {
	n, _ := strconv.ParseUint(c.QueryParam(param), 10, 64)
	return n
}

func answer(c echo.Context, body any, err error) error {
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return c.JSON(http.StatusPreconditionFailed, storer.ConflictAnswer{Current: conflict.Current})
	}
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return c.JSON(http.StatusNotFound, nil)
	}
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, body)
}
